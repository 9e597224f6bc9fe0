#pragma once

#include <cstddef>
#include <cstdint>

/// Slot share: how many of an engine's slots this node may use.
///
/// Load pattern: many nodes send to the same engines, none sees the whole load, and load moves
/// between nodes. Without shares each node believes that a free slot is its own; together they
/// overfill the engine, requests wait there out of reach of the queue's order, and first tokens
/// come late. With fixed equal shares a node that carries most of the load queues in front of
/// engines that stand half empty.
///
/// Every node may always use its equal part. While the engine has free slots, a node may use what
/// it has there plus a part of the free slots: where requests wait, divided by the nodes where they
/// do; elsewhere divided by all nodes, as room for what comes next. So the parts nearly add up, and
/// nobody has to agree. Remaining capacity divided by unsaturated senders is the rule of
/// Aggressive Increase (cited in docs/DECISIONS.md), whose flows never shrink. Ours do: what a node
/// has beyond its equal part shrinks while the engine is full, or nodes that start late would stay
/// at their equal part and overfill the engine with it.
///
/// Grounds for the figures: docs/DECISIONS.md has the measurement against equal shares, additive
/// increase with multiplicative decrease, and Aggressive Increase as published.
namespace vanilladyke {

/// @brief An engine's load report, as one node reads it.
struct SlotReport
{
    double slots = 0; ///< requests that the engine runs at once
    double busy = 0;  ///< requests of all nodes, running and waiting
    double own = 0;   ///< requests of this node, now
    std::uint32_t nodes = 1;
    std::uint32_t wantingNodes = 1; ///< where requests wait, as far as heard
    bool wanting = false;           ///< requests wait at this node
};

/// @brief This node's share of one engine.
class SlotShare
{
public:
    /// @brief Part of the slots that must be free before anyone takes more than its equal part.
    static constexpr double FreeMargin = 0.05;
    /// @brief Part of the excess that is given up with a report of a full engine,
    static constexpr double GivenUpWhenFull = 0.1;
    /// @brief and of an engine where requests wait.
    static constexpr double GivenUpWhenOverfull = 0.3;

    void update(const SlotReport &report);
    /// @brief Requests that this node may have in the engine.
    /// @param rounding see slotRounding
    [[nodiscard]] std::uint32_t usable(double rounding) const;

private:
    double m_share = 0;
    double m_lastOwn = 0;
};

/// @brief Nodes where requests wait, judged by the peers that were heard of lately.
/// @param waitingPeers those of the heard ones where requests wait
/// @param here whether requests wait at this node
[[nodiscard]] std::uint32_t estimateWantingNodes(std::size_t waitingPeers, std::size_t heardPeers,
                                                 bool here, std::uint32_t liveNodes);

/// @brief What a node adds to its share of an engine before it cuts it to whole slots.
///
/// With more nodes than slots every share is below one slot and would be cut to nothing. These
/// numbers are spread evenly over the nodes of an engine, so that the cut shares add up to its
/// slots, and over the engines of a node, so that every node gets as many.
/// @param rank of the node among the live ones, in an order that all of them use
/// @param engine index in the bundle
[[nodiscard]] double slotRounding(std::size_t rank, std::size_t nodes, std::size_t engine);

} // namespace vanilladyke
