#include "vanilladyke/policy/reading_turn.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Looking through hundreds of nodes whenever one of them is heard of would be a cost of its own.
constexpr Duration ForgetEvery = std::chrono::seconds(1);

} // namespace

ReadingTurn::ReadingTurn(std::uint64_t self, std::uint64_t dataCentre)
    : m_self(self)
    , m_dataCentre(dataCentre)
{}

std::uint64_t ReadingTurn::orderOf(std::uint64_t node, std::optional<std::uint64_t> group)
{
    return mixBits(group.value_or(0) ^ mixBits(node));
}

void ReadingTurn::forgetSilent(TimePoint now)
{
    if (m_forgotAt != TimePoint::min() && now - m_forgotAt < ForgetEvery) {
        return;
    }
    m_forgotAt = now;
    std::erase_if(m_nodes, [now](const auto &item) { return !isLive(item.second, now); });
}

void ReadingTurn::heard(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint,
                        TimePoint now)
{
    if (node == m_self) {
        return;
    }
    Node &known = m_nodes[node];
    known.dataCentre = dataCentre;
    known.endpoint = endpoint;
    known.heardAt = now;
    forgetSilent(now);
}

bool ReadingTurn::isLive(const Node &node, TimePoint now)
{
    return now - node.heardAt <= HeardLife;
}

std::optional<std::uint64_t> ReadingTurn::groupAt(TimePoint now) const
{
    std::size_t live = 1;
    std::size_t beside = 1;
    for (const auto &[node, known] : m_nodes) {
        live += isLive(known, now) ? 1 : 0;
        beside += isLive(known, now) && known.dataCentre == m_dataCentre ? 1 : 0;
    }
    const bool isSmall = live <= MostTogether || beside < LeastNodes;
    return isSmall ? std::nullopt : std::optional(m_dataCentre);
}

std::optional<std::uint64_t> ReadingTurn::whomToAsk(TimePoint now) const
{
    const std::optional<std::uint64_t> group = groupAt(now);
    std::optional<std::uint64_t> first;
    std::uint64_t best = orderOf(m_self, group);
    std::size_t live = 1;
    for (const auto &[node, known] : m_nodes) {
        if (!isLive(known, now) || (group && known.dataCentre != *group)) {
            continue;
        }
        ++live;
        if (now >= known.doubtedUntil && orderOf(node, group) > best) {
            best = orderOf(node, group);
            first = node;
        }
    }
    return live < LeastNodes ? std::nullopt : first;
}

std::size_t ReadingTurn::rank(TimePoint now) const
{
    const auto before = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &item) {
        return isLive(item.second, now) && mixBits(item.first) > mixBits(m_self);
    });
    return static_cast<std::size_t>(before);
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
