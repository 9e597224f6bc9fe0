#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"

#include <cstdint>

/// When to call a service of the platform again after it failed.
///
/// Load pattern: the log, the host list or a store is down or slow for minutes, and every node
/// calls it. Without this, each client calls again at once: the service comes back to a flood from
/// all nodes in step, and threads spend their time on calls that run into their deadlines. Spans
/// double up to a cap, and each is drawn from its upper half at random, so that nodes that failed
/// together don't return together; the lower half is left out, so that a first retry is no flood.
namespace vanilladyke {

/// @brief Spans of one client.
struct BackOffSpans
{
    Duration first = std::chrono::milliseconds(50); ///< a lost packet is worth a quick retry
    /// After an outage a node notices within this span; bundles are to be in force within seconds.
    Duration most = std::chrono::milliseconds(1000);
};

/// @brief The breaker of one client. Pure; a slow answer is reported as a failure at its deadline.
class BackOff
{
public:
    explicit BackOff(BackOffSpans spans = {});

    /// @brief Whether a call may be tried now; while it may not, the service counts as down.
    [[nodiscard]] bool mayTry(TimePoint now) const { return now >= m_retryAt; }
    /// @brief When the next call may be tried; long past if it may be now.
    [[nodiscard]] TimePoint retryAt() const { return m_retryAt; }
    /// @brief Whether the last call failed.
    [[nodiscard]] bool down() const { return m_failures > 0; }

    void succeeded();
    void failed(TimePoint now, Random &random);

private:
    BackOffSpans m_spans;
    std::uint32_t m_failures = 0; ///< in a row
    TimePoint m_retryAt = TimePoint::min();
};

} // namespace vanilladyke
