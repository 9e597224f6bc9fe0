#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"

#include <cstdint>

/// Back-off after failed calls to a platform service.
///
/// Load pattern: the log, the host list or a store is down or slow for minutes, and every node
/// calls it. Without back-off each client calls again at once: the recovering service is flooded by
/// all nodes in step, and threads are blocked in calls that run into their deadlines. Intervals
/// double up to a cap, and each is drawn at random from its upper half, so that nodes that failed
/// together do not retry together. The lower half is excluded so that the first retries do not
/// flood the service.
namespace vanilladyke {

/// @brief Retry intervals of one client.
struct BackOffIntervals
{
    /// Short, to recover quickly from a lost packet.
    Duration first = std::chrono::milliseconds(50);
    /// A node detects the end of an outage within this time; bundles must take effect within
    /// seconds.
    Duration max = std::chrono::milliseconds(1000);
};

/// @brief The back-off state of one client. Pure. A slow call counts as failed at its deadline.
class BackOff
{
public:
    explicit BackOff(BackOffIntervals intervals = {});

    /// @brief Whether a call may be made now; until then the service is treated as down.
    [[nodiscard]] bool mayTry(TimePoint now) const { return now >= m_retryAt; }
    /// @brief When the next call may be made; in the past if it may be made now.
    [[nodiscard]] TimePoint retryAt() const { return m_retryAt; }
    /// @brief Whether the last call failed.
    [[nodiscard]] bool down() const { return m_failures > 0; }

    void succeeded();
    void failed(TimePoint now, Random &random);

private:
    BackOffIntervals m_intervals;
    std::uint32_t m_failures = 0; ///< in a row
    TimePoint m_retryAt = TimePoint::min();
};

} // namespace vanilladyke
