#include "vanilladyke/policy/store_reader_selection.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Iterating over hundreds of nodes for each received message would be too expensive.
constexpr Duration CleanupInterval = std::chrono::seconds(1);

} // namespace

StoreReaderSelection::StoreReaderSelection(std::uint64_t self, std::uint64_t dataCentre)
    : m_self(self)
    , m_dataCentre(dataCentre)
{}

std::uint64_t StoreReaderSelection::rankingHash(std::uint64_t node,
                                                std::optional<std::uint64_t> group)
{
    return mixBits(group.value_or(0) ^ mixBits(node));
}

void StoreReaderSelection::removeUnresponsive(TimePoint now)
{
    if (m_cleanedUpAt != TimePoint::min() && now - m_cleanedUpAt < CleanupInterval) {
        return;
    }
    m_cleanedUpAt = now;
    std::erase_if(m_nodes, [now](const auto &item) { return !isLive(item.second, now); });
}

void StoreReaderSelection::nodeSeen(std::uint64_t node, std::uint64_t dataCentre,
                                    const Endpoint &endpoint, TimePoint now)
{
    if (node == m_self) {
        return;
    }
    Node &known = m_nodes[node];
    known.dataCentre = dataCentre;
    known.endpoint = endpoint;
    known.lastSeenAt = now;
    removeUnresponsive(now);
}

bool StoreReaderSelection::isLive(const Node &node, TimePoint now)
{
    return now - node.lastSeenAt <= SeenTimeout;
}

std::optional<std::uint64_t> StoreReaderSelection::groupAt(TimePoint now) const
{
    std::size_t live = 1;
    std::size_t inSameDataCentre = 1;
    for (const auto &[node, known] : m_nodes) {
        live += isLive(known, now) ? 1 : 0;
        inSameDataCentre += isLive(known, now) && known.dataCentre == m_dataCentre ? 1 : 0;
    }
    const bool isSmall = live <= MaxNodesPerReader || inSameDataCentre < MinNodes;
    return isSmall ? std::nullopt : std::optional(m_dataCentre);
}

std::optional<std::uint64_t> StoreReaderSelection::readerToAsk(TimePoint now) const
{
    const std::optional<std::uint64_t> group = groupAt(now);
    std::optional<std::uint64_t> first;
    std::uint64_t best = rankingHash(m_self, group);
    std::size_t live = 1;
    for (const auto &[node, known] : m_nodes) {
        if (!isLive(known, now) || (group && known.dataCentre != *group)) {
            continue;
        }
        ++live;
        if (now >= known.backOffUntil && rankingHash(node, group) > best) {
            best = rankingHash(node, group);
            first = node;
        }
    }
    return live < MinNodes ? std::nullopt : first;
}

std::size_t StoreReaderSelection::rank(TimePoint now) const
{
    const auto before = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &item) {
        return isLive(item.second, now) && mixBits(item.first) > mixBits(m_self);
    });
    return static_cast<std::size_t>(before);
}

Endpoint StoreReaderSelection::endpointOf(std::uint64_t node) const
{
    const auto known = m_nodes.find(node);
    return known == m_nodes.end() ? Endpoint() : known->second.endpoint;
}

void StoreReaderSelection::answered(std::uint64_t node)
{
    const auto known = m_nodes.find(node);
    if (known != m_nodes.end()) {
        known->second.backOffSpan = Duration::zero();
    }
}

void StoreReaderSelection::backOff(std::uint64_t node, TimePoint now)
{
    const auto known = m_nodes.find(node);
    if (known != m_nodes.end()) {
        Duration &span = known->second.backOffSpan;
        span = std::clamp<Duration>(2 * span, InitialBackOff, MaxBackOff);
        known->second.backOffUntil = now + span;
    }
}

} // namespace vanilladyke
