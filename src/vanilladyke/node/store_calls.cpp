#include "vanilladyke/node/store_calls.hpp"

#include "vanilladyke/base/log.hpp"

#include <string>

namespace vanilladyke {

namespace {

constexpr std::array<std::string_view, 4> CallNames{"list", "read", "wait", "append"};
constexpr std::array<std::string_view, 6> TopicNames{"operator",  "backends", "nodes",
                                                     "fleet_key", "lease",    "software"};
constexpr std::array<std::string_view, 9> CauseNames{
        "start",           "follow",  "for_others", "alone", "old_proof", "peer_could_not_tell",
        "peer_knows_more", "rollout", "versions"};

template <typename Enum>
std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

} // namespace

std::string_view toString(StoreCall call)
{
    return CallNames.at(indexOf(call));
}

std::string_view toString(StoreTopic topic)
{
    return TopicNames.at(indexOf(topic));
}

std::string_view toString(CallCause cause)
{
    return CauseNames.at(indexOf(cause));
}

void StoreCalls::count(StoreCall call, StoreTopic topic, CallCause cause)
{
    ++m_counts.at(indexOf(call)).at(indexOf(topic)).at(indexOf(cause));
    ++m_total;
    std::string name = "store_calls_total{call=\"";
    name += toString(call);
    name += "\",topic=\"";
    name += toString(topic);
    name += "\",cause=\"";
    name += toString(cause);
    name += "\"}";
    m_metrics.count(name);
}

void StoreCalls::log(TimePoint now)
{
    if (now < m_nextLog || m_total == m_logged) {
        return;
    }
    m_nextLog = now + LogInterval;
    m_logged = m_total;
    LogEvent line("store_calls");
    line.field("total", m_total);
    for (std::size_t call = 0; call < Calls; ++call) {
        for (std::size_t topic = 0; topic < Topics; ++topic) {
            for (std::size_t cause = 0; cause < Causes; ++cause) {
                const std::uint64_t calls = m_counts.at(call).at(topic).at(cause);
                if (calls == 0) {
                    continue;
                }
                std::string key(CallNames.at(call));
                key += "_" + std::string(TopicNames.at(topic));
                key += "_" + std::string(CauseNames.at(cause));
                line.field(key, calls);
            }
        }
    }
}

} // namespace vanilladyke
