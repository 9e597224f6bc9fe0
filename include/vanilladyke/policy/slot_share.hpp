#pragma once

#include <cstdint>

/// Slot share: how many of an engine's slots this node may use.
///
/// Load pattern: many nodes send to the same engines, none sees the whole load, and load moves
/// between nodes. Without shares each node believes that a free slot is its own; together they
/// overfill the engine, requests wait there out of reach of the queue's order, and first tokens
/// come late. With fixed equal shares a node that carries most of the load queues in front of
/// engines that stand half empty.
///
/// With each load report a node takes what it has in the engine plus an equal part of what is free:
/// the parts of all nodes add up to the engine's slots, so that nobody has to agree. This is the
/// rule by which waypoints fill up in Aggressive Increase ("Maximizing Throughput in Minimum
/// Rounds", cited in docs/DECISIONS.md). Its flows never shrink; ours do: a node that has more than
/// its equal part of a full engine gives up GivenBack of the excess with each report, or a node
/// that starts late would wait for ever. docs/DECISIONS.md has the measurement of this against
/// equal shares and additive increase with multiplicative decrease.
namespace vanilladyke {

/// @brief An engine's load report, as one node reads it.
struct SlotReport
{
    double slots = 0; ///< requests that the engine runs at once
    double busy = 0;  ///< requests of all nodes, running and waiting
    double own = 0;   ///< requests of this node among them
    std::uint32_t nodes = 1;
};

/// @brief This node's share of one engine.
class SlotShare
{
public:
    /// @brief Part of the excess over the equal part that is given up with each report.
    static constexpr double GivenBack = 0.1;

    /// @param rounding in [0, 1), drawn once for each node and engine: shares below one slot must
    /// round up at some nodes, or nobody would use the engine
    explicit SlotShare(double rounding)
        : m_rounding(rounding)
    {}

    void update(const SlotReport &report);
    /// @brief Requests that this node may have in the engine.
    [[nodiscard]] std::uint32_t usable() const;

private:
    double m_share = 0;
    double m_rounding;
};

} // namespace vanilladyke
