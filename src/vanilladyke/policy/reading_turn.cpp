#include "vanilladyke/policy/reading_turn.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

ReadingTurn::ReadingTurn(std::uint64_t self, std::uint64_t dataCentre)
    : m_self(self)
    , m_dataCentre(dataCentre)
{}

std::uint64_t ReadingTurn::orderOf(std::uint64_t node) const
{
    return mixBits(m_dataCentre ^ mixBits(node));
}

void ReadingTurn::heard(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint,
                        TimePoint now)
{
    if (node == m_self) {
        return;
    }
    m_others[node] = now;
    std::erase_if(m_others, [now](const auto &item) { return now - item.second > HeardLife; });
    if (dataCentre != m_dataCentre) {
        return;
    }
    Node &known = m_nodes[node];
    known.endpoint = endpoint;
    known.heardAt = now;
    std::erase_if(m_nodes,
                  [now](const auto &item) { return now - item.second.heardAt > HeardLife; });
}

std::optional<std::uint64_t> ReadingTurn::whomToAsk(TimePoint now) const
{
    std::optional<std::uint64_t> first;
    std::uint64_t best = orderOf(m_self);
    std::size_t live = 1;
    for (const auto &[node, known] : m_nodes) {
        if (now - known.heardAt > HeardLife) {
            continue;
        }
        ++live;
        if (now >= known.doubtedUntil && orderOf(node) > best) {
            best = orderOf(node);
            first = node;
        }
    }
    return live < LeastNodes ? std::nullopt : first;
}

bool ReadingTurn::isAmongFirst(std::size_t most, TimePoint now) const
{
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](const auto &item) {
        return now - item.second <= HeardLife && mixBits(item.first) > mixBits(m_self);
    });
    return static_cast<std::size_t>(before) < most;
}

Endpoint ReadingTurn::endpointOf(std::uint64_t node) const
{
    const auto known = m_nodes.find(node);
    return known == m_nodes.end() ? Endpoint() : known->second.endpoint;
}

void ReadingTurn::answered(std::uint64_t node)
{
    const auto known = m_nodes.find(node);
    if (known != m_nodes.end()) {
        known->second.doubt = Duration::zero();
    }
}

void ReadingTurn::doubt(std::uint64_t node, TimePoint now)
{
    const auto known = m_nodes.find(node);
    if (known != m_nodes.end()) {
        Duration &span = known->second.doubt;
        span = std::clamp<Duration>(2 * span, FirstDoubt, LongestDoubt);
        known->second.doubtedUntil = now + span;
    }
}

} // namespace vanilladyke
