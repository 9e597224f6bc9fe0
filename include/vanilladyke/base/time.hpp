#pragma once

#include <chrono>
#include <concepts>

/// Time as the whole program measures it. Deadlines are stored as points in time, never as
/// durations.
namespace vanilladyke {

/// @brief A point on the monotonic clock; all decisions and deadlines inside one process use it.
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief A point on the wall clock; only for what crosses a process boundary.
using WallTime = std::chrono::system_clock::time_point;

/// @brief A span between two points of either clock.
using Duration = std::chrono::nanoseconds;

/// @brief A span as a number of seconds, for arithmetic with rates.
[[nodiscard]] constexpr double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// @brief A number of seconds as a span; one too long for a span is cut to about a century.
[[nodiscard]] constexpr Duration spanOfSeconds(double seconds)
{
    constexpr double Longest = 3e9;
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(seconds < Longest ? seconds : Longest));
}

/// @brief Anything that tells the time: the real clock in serve, a fake one in tests.
template <typename T>
concept TimeSource = requires(const T &source)
{
    {
        source.now()
        } -> std::same_as<TimePoint>;
};

/// @brief The monotonic clock of this host.
struct MonotonicClock
{
    [[nodiscard]] static TimePoint now() { return std::chrono::steady_clock::now(); }
};

/// @brief Carries a wall-clock deadline over to the monotonic clock.
/// @param wall the deadline as another process stated it
/// @param wallNow the wall clock's present reading
/// @param now the monotonic clock's reading at the same moment
[[nodiscard]] inline TimePoint toMonotonic(WallTime wall, WallTime wallNow, TimePoint now)
{
    return now + std::chrono::duration_cast<Duration>(wall - wallNow);
}

/// @brief Carries a monotonic deadline over to the wall clock, to state it to another process.
[[nodiscard]] inline WallTime toWall(TimePoint point, WallTime wallNow, TimePoint now)
{
    return wallNow + std::chrono::duration_cast<WallTime::duration>(point - now);
}

} // namespace vanilladyke
