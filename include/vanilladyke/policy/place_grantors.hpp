#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Selects the node that grants the places of a brittle engine; see place_book.hpp.
///
/// It is the first live node of the engine's rendezvous order, which all nodes compute alike. A
/// node that stops says so in its updates; one that was not heard of for a while is passed over.
/// Views of two nodes may differ for the interval of their updates: a node that becomes an engine's
/// grantor therefore waits that long before it grants anything. A node that hears of less than half
/// of the others only grants that part of the places, as the rest may have another grantor.
namespace vanilladyke {

/// @brief The possible grantors as one node sees them. Pure.
class PlaceGrantors
{
public:
    /// A node without news for so long has ended, or can't be reached.
    static constexpr Duration MinLifetime = std::chrono::seconds(2);
    /// Lifetime in intervals of the nodes' updates.
    static constexpr int LifetimeIntervals = 3;
    /// A node that was heard of within this time counts as a part of the fleet.
    static constexpr Duration MemberFor = std::chrono::seconds(60);
    /// Updates take so long besides their interval.
    static constexpr Duration Transit = std::chrono::milliseconds(100);

    /// @param self hash of this node's address
    explicit PlaceGrantors(std::uint64_t self)
        : m_self(self)
    {}

    /// @brief Sets the interval of the nodes' updates, which grows with their number.
    void setInterval(Duration interval) { m_interval = interval; }
    /// @brief This node can hear others from now on; false: it can't, or not yet.
    void setListening(bool isListening, TimePoint now);
    /// @brief Whether this node grants places; it does not while it stops.
    void setGranting(bool isGranting) { m_isGranting = isGranting; }
    /// @brief Records an update of another node. @param grants whether it grants places
    void nodeSeen(std::uint64_t node, bool grants, TimePoint now);
    /// @brief Nodes that have not been heard of for too long, once each.
    [[nodiscard]] std::vector<std::uint64_t> takeGone(TimePoint now);

    /// @brief The node that grants the places of the engine; this node if no other one is known.
    [[nodiscard]] std::uint64_t grantorOf(std::uint64_t engine, TimePoint now) const;
    /// @brief Whether this node has listened for long enough to know the others.
    [[nodiscard]] bool isSettled(TimePoint now) const;
    /// @brief Whether it has known them for so long that it hears of whatever begins.
    [[nodiscard]] bool isSettledSince(TimePoint then) const;
    /// @brief How long a new grantor waits before it grants.
    [[nodiscard]] Duration handoverPause() const { return m_interval + Transit; }
    /// @brief Part of an engine's places that this node may grant, by the part of the fleet that it
    /// hears of; above 0.
    [[nodiscard]] double share(TimePoint now) const;

private:
    struct Node
    {
        TimePoint seenAt;
        bool grants = false;
        bool isGone = false;
    };

    [[nodiscard]] bool isLive(const Node &node, TimePoint now) const;

    std::uint64_t m_self;
    bool m_isGranting = true;
    Duration m_interval = std::chrono::milliseconds(80);
    std::optional<TimePoint> m_listeningSince;
    std::map<std::uint64_t, Node> m_nodes;
};

} // namespace vanilladyke
