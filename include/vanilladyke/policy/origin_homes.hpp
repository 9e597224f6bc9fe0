#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

/// Selects the nodes that keep the origin of a stream for the others.
///
/// Load pattern: tens of thousands of streams a second over hundreds of nodes. Telling all nodes of
/// each stream would cost far more than the links of small hosts bear, and asking all of them when
/// a caller comes back finds nothing if the node that knew has died. The homes of an attempt are
/// the first nodes in its rendezvous order, which the node that tells and the node that asks
/// compute alike: both messages go to a few nodes, and a single death loses nothing.
namespace vanilladyke {

/// @brief The nodes that a node hears of, as homes of stream origins. Pure.
/// @tparam Address of a node; must be ordered
template <typename Address>
class OriginHomes
{
public:
    /// Nodes that are told of a stream, besides the one that began it.
    static constexpr std::size_t Told = 2;
    /// Nodes that are asked. One more than are told: the order of the one that told left itself
    /// out.
    static constexpr std::size_t Asked = 3;
    /// A node that was neither seen nor newly listed for this long is not selected.
    static constexpr Duration SeenTimeout = std::chrono::seconds(8);

    /// @brief Records the listed nodes; a listed node counts as seen once.
    void nodesListed(const std::vector<Address> &nodes, TimePoint now)
    {
        std::erase_if(m_seenAt, [&](const auto &item) {
            const bool isListed = std::find(nodes.begin(), nodes.end(), item.first) != nodes.end();
            return !isListed && now - item.second > SeenTimeout;
        });
        for (const Address &each : nodes) {
            m_seenAt.try_emplace(each, now);
        }
    }
    /// @brief Records that a message of the node was received.
    void nodeSeen(const Address &node, TimePoint now) { m_seenAt[node] = now; }

    /// @brief Selects up to @p most homes of an attempt, the first of its order first.
    /// @param hash maps an address to a number that is the same on all nodes
    template <typename Hash>
    [[nodiscard]] std::vector<Address> homes(std::uint64_t attempt, std::size_t most, Hash hash,
                                             TimePoint now) const
    {
        std::vector<std::pair<std::uint64_t, Address>> ranked;
        for (const auto &[address, seenAt] : m_seenAt) {
            if (now - seenAt <= SeenTimeout) {
                ranked.emplace_back(mixBits(attempt ^ hash(address)), address);
            }
        }
        const std::size_t count = std::min(most, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end(), std::greater<>());
        std::vector<Address> result;
        for (std::size_t i = 0; i < count; ++i) {
            result.push_back(ranked[i].second);
        }
        return result;
    }

private:
    std::map<Address, TimePoint> m_seenAt;
};

} // namespace vanilladyke
