#pragma once

#include "vanilladyke/policy/engine_pace.hpp"

#include <optional>

/// Whether a request goes where it would wait, or is refused at once.
///
/// Load pattern: engines are lost, or callers come at one and a half times what engines read. Sent
/// on, every request waits for seconds at its engine: all first tokens are late, callers leave, and
/// what was read for them is lost. Refused at once while the wait is above a part of the target,
/// those that go are in time, and those that don't can come back when the queue has drained.
///
/// Only the wait decides, not how long the prompt itself takes to read: otherwise the longest
/// prompts would be refused always, at any load.
namespace vanilladyke {

/// @brief What decides for one request.
struct WaitTerms
{
    Duration target{};  ///< within which the first token is worth most
    TimePoint deadline; ///< of the caller
    /// Of the target that may be spent on waiting; the rest is for reading and for what the
    /// prediction misses.
    double mostPart = 0.5;
};

/// @brief When a request that is refused now may come back.
/// @param waits predicted time at the best server until what is ahead was read
/// @return none if it may go there
[[nodiscard]] std::optional<TimePoint> refusedUntil(const WaitTerms &terms, Millis waits,
                                                    TimePoint now);

} // namespace vanilladyke
