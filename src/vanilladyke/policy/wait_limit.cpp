#include "vanilladyke/policy/wait_limit.hpp"

namespace vanilladyke {

std::optional<TimePoint> refusedUntil(const WaitTerms &terms, Millis waits, TimePoint now)
{
    const Millis most = terms.mostPart * Millis(terms.target);
    const auto wait = std::chrono::duration_cast<Duration>(waits);
    if (waits <= most && now + wait < terms.deadline) {
        return std::nullopt;
    }
    // By then the excess and half of the permitted wait have drained, so that other callers that
    // retry at the same time find capacity as well.
    return now + std::chrono::duration_cast<Duration>(waits - most / 2);
}

} // namespace vanilladyke
