#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>

/// Rate limit of a node's appends to the log.
///
/// Load pattern: bursts of calls that each need a record in a log that accepts a few hundred
/// appends per second from all nodes together. Without a limit, each node appends as fast as the
/// log answers, the log refuses appends, and all calls wait for retries. Every node has an equal
/// share of the budget and can save up a few appends, so that a single call never waits and a burst
/// is batched.
namespace vanilladyke {

/// @brief Appends per second that all nodes together may use for claims. The log accepts several
/// hundred; the rest is left for bundles and retries.
inline constexpr double AppendsPerSecond = 150;
/// @brief Appends that an idle node may make at once.
inline constexpr double AppendBurst = 4;
/// @brief Back-off after a failed append, doubled on each further failure up to the maximum.
inline constexpr Duration FirstAppendPause = std::chrono::milliseconds(25);
inline constexpr Duration LongestAppendPause = std::chrono::milliseconds(400);

/// @brief Token bucket for appends, with exponential back-off after failures.
class AppendPacer
{
public:
    /// @brief Divides the budget by the number of live nodes.
    void setLiveNodes(std::uint32_t liveNodes);
    /// @brief Takes a token for one append. @return false if none is available yet
    [[nodiscard]] bool tryTake(TimePoint now);
    /// @brief When tryTake() will succeed, unless an append fails before.
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
