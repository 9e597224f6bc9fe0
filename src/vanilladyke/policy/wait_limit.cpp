#include "vanilladyke/policy/wait_limit.hpp"

namespace vanilladyke {

std::optional<TimePoint> refusedUntil(const WaitTerms &terms, Millis waits, TimePoint now)
{
    const Millis most = terms.mostPart * Millis(terms.target);
    const auto wait = std::chrono::duration_cast<Duration>(waits);
    if (waits <= most && now + wait < terms.deadline) {
        return std::nullopt;
    }
    // By then half of what may be waited for has drained beside the excess, so that others who come
    // back at the same time find room as well.
    return now + std::chrono::duration_cast<Duration>(waits - most / 2);
}

} // namespace vanilladyke
