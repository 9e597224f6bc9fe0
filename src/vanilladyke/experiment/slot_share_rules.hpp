#pragma once

#include "vanilladyke/policy/slot_share.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>

/// Rules for slot shares: the one of policy/slot_share.hpp, and those that were weighed against it
/// and not taken. They stand here as baselines only.
namespace vanilladyke {

/// @brief A rule that turns load reports into slots that a node may use.
template <typename T>
concept ShareRule = std::default_initializable<T> && requires(T &rule, const SlotReport &report,
                                                              bool wanting, double rounding)
{
    rule.update(report);
    {
        rule.usable(rounding)
        } -> std::same_as<std::uint32_t>;
};

/// @brief Cuts a baseline's share to whole slots.
class RoundedShare
{
public:
    [[nodiscard]] std::uint32_t usable(double rounding) const
    {
        return static_cast<std::uint32_t>(m_share + rounding);
    }

protected:
    double m_share = 0;
};

/// @brief The rule that nodes use.
class WantingPartRule
{
public:
    void update(const SlotReport &report) { m_share.update(report); }
    [[nodiscard]] std::uint32_t usable(double rounding) const { return m_share.usable(rounding); }

private:
    SlotShare m_share;
};

/// @brief The same rule at a node that hears nothing of where requests wait.
class UnheardPartRule
{
public:
    void update(SlotReport report)
    {
        report.waitingNodes = report.nodes;
        m_share.update(report);
    }
    [[nodiscard]] std::uint32_t usable(double rounding) const { return m_share.usable(rounding); }

private:
    SlotShare m_share;
};

/// @brief Every node has the same part of every engine, whatever it needs.
class EqualSplitRule : public RoundedShare
{
public:
    void update(const SlotReport &report) { m_share = report.slots / report.nodes; }
};

/// @brief Additive increase while the engine has room, multiplicative decrease once it has not.
class AdditiveIncreaseRule : public RoundedShare
{
public:
    void update(const SlotReport &report)
    {
        if (report.busy > report.slots) {
            m_share *= Decrease;
        } else if (report.busy < report.slots && report.hasWaiting) {
            m_share = std::min(report.slots, m_share + Increase);
        }
    }

private:
    static constexpr double Increase = 0.5;
    static constexpr double Decrease = 0.7;
};

/// @brief Aggressive Increase as published: remaining capacity divided by the unsaturated nodes,
/// asked of those only; what a node once has it keeps while it is active.
class AggressiveIncreaseRule : public RoundedShare
{
public:
    void update(const SlotReport &report)
    {
        const double free = std::max(0.0, report.slots - report.busy);
        if (report.hasWaiting) {
            m_share = std::min(report.slots, m_share + free / std::max(report.waitingNodes, 1U));
        } else if (report.own == 0) {
            m_share = 0; // inactive: it starts from nothing when it comes back
        }
    }
};

} // namespace vanilladyke
