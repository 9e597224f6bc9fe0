#include "vanilladyke/policy/wait_limit.hpp"

namespace vanilladyke {

std::optional<TimePoint> refusedUntil(const WaitLimits &limits, Millis predictedWait, TimePoint now)
{
    const Millis most = limits.maxFraction * Millis(limits.target);
    const auto wait = std::chrono::duration_cast<Duration>(predictedWait);
    if (predictedWait <= most && now + wait < limits.deadline) {
        return std::nullopt;
    }
    // By then the excess and half of the permitted wait have drained, so that other callers that
    // retry at the same time find capacity as well.
    return now + std::chrono::duration_cast<Duration>(predictedWait - most / 2);
}

} // namespace vanilladyke
