#pragma once

#include <cstddef>
#include <cstdint>

/// Slot share: how many slots of an engine this node may use.
///
/// Load pattern: many nodes send to the same engines, no node sees the whole load, and load moves
/// between nodes. Without shares each node treats a free slot as its own; together they overfill
/// the engine, requests wait there outside the order of the nodes' queues, and first tokens are
/// late. With fixed equal shares a node that carries most of the load queues requests in front of
/// engines that are half empty.
///
/// Every node may always use its equal share. While the engine has free slots, a node may use what
/// it has there plus a part of the free slots. If requests wait at the node, the free slots are
/// divided by the number of nodes where requests wait; otherwise by the number of all nodes, as
/// room for the next requests. The shares then nearly add up to the slots without coordination.
/// Dividing the remaining capacity by the number of unsaturated senders is the rule of Aggressive
/// Increase (cited in docs/DECISIONS.md), whose flows never shrink. Here the part of a share beyond
/// the equal share shrinks while the engine is full; otherwise nodes that start late would stay at
/// their equal share and overfill the engine with it.
///
/// docs/DECISIONS.md has the measurement of the constants against equal shares, additive increase
/// with multiplicative decrease, and Aggressive Increase as published.
namespace vanilladyke {

/// @brief An engine's load report from the view of one node.
struct SlotReport
{
    double slots = 0; ///< number of requests that the engine runs in parallel
    double busy = 0;  ///< requests of all nodes, running and waiting
    double own = 0;   ///< requests of this node at present
    std::uint32_t nodes = 1;
    std::uint32_t waitingNodes = 1; ///< estimated number of nodes where requests wait
    bool hasWaiting = false;        ///< requests wait at this node
};

/// @brief This node's share of one engine.
class SlotShare
{
public:
    /// @brief Fraction of the slots that must be free before a node takes more than its equal
    /// share.
    static constexpr double FreeMargin = 0.05;
    /// @brief Fraction of the excess over the equal share released per report of a full engine.
    static constexpr double ReleasedWhenFull = 0.1;
    /// @brief Fraction of the excess released per report of an engine where requests wait.
    static constexpr double ReleasedWhenOverfull = 0.3;

    void update(const SlotReport &report);
    /// @brief Number of requests that this node may have at the engine.
    /// @param rounding see slotRounding
    [[nodiscard]] std::uint32_t usable(double rounding) const;

private:
    double m_share = 0;
    double m_lastOwn = 0;
};

/// @brief Estimates the number of nodes where requests wait from the peers that reported recently.
/// @param waitingPeers reporting peers where requests wait
/// @param here whether requests wait at this node
[[nodiscard]] std::uint32_t estimateWaitingNodes(std::size_t waitingPeers,
                                                 std::size_t reportingPeers, bool here,
                                                 std::uint32_t liveNodes);

/// @brief Offset that a node adds to its share of an engine before truncating it to whole slots.
///
/// With more nodes than slots every share is below one slot and would be truncated to 0. The
/// offsets are spread evenly over the nodes of an engine, so that the truncated shares add up to
/// its slots, and over the engines of a node, so that every node gets equally many.
/// @param rank of the node among the live ones, in an order that all of them use
/// @param engine index in the bundle
[[nodiscard]] double slotRounding(std::size_t rank, std::size_t nodes, std::size_t engine);

} // namespace vanilladyke
