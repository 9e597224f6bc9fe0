#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>

/// Paces one node's appends to the log.
///
/// Load pattern: bursts of calls that each need a record in a log that takes a few hundred appends
/// a second from all nodes together. Without pacing each node appends as fast as the log answers,
/// the log refuses, and all calls wait for retries. Every node gets an equal share of the budget,
/// saved up for a few appends, so that a lone call never waits and a burst is grouped.
namespace vanilladyke {

/// @brief Appends a second that all nodes together spend on claims. The log takes several hundred;
/// the rest is left for bundles and for retries.
inline constexpr double AppendsPerSecond = 150;
/// @brief Appends that a node that was quiet may make at once.
inline constexpr double AppendBurst = 4;
/// @brief Pauses after a failed append, doubled each time.
inline constexpr Duration FirstAppendPause = std::chrono::milliseconds(25);
inline constexpr Duration LongestAppendPause = std::chrono::milliseconds(400);

/// @brief A token bucket for appends, with a growing pause after failures.
class AppendPacer
{
public:
    void share(std::uint32_t liveNodes);
    /// @brief Takes the right to append once. @return false if it is too early
    [[nodiscard]] bool take(TimePoint now);
    /// @brief When take() will grant the right, if nothing fails until then.
    [[nodiscard]] TimePoint readyAt() const;
    void succeeded() { m_pause = Duration::zero(); }
    void failed(TimePoint now);

private:
    double m_perSecond = AppendsPerSecond;
    double m_tokens = AppendBurst;
    TimePoint m_filledAt;
    TimePoint m_notBefore;
    Duration m_pause{};
};

} // namespace vanilladyke
