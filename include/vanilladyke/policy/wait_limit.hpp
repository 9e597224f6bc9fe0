#pragma once

#include "vanilladyke/policy/prefill_throughput.hpp"

#include <optional>

/// Decides whether a request is sent to the selected server or refused because of its predicted
/// wait.
///
/// Load pattern: engines fail, or the load rises to one and a half times the capacity. If all
/// requests were sent, each would wait for seconds at its engine: all first tokens would be late,
/// callers would give up, and the prefill done for them would be lost. If requests are refused
/// while the wait exceeds a fraction of the target, those that are sent are in time, and the others
/// can retry when the queue has drained.
///
/// Only the wait counts, not the prefill time of the prompt itself; otherwise the longest prompts
/// would be refused at any load.
namespace vanilladyke {

/// @brief Limits for one request.
struct WaitLimits
{
    Duration target{};  ///< the first token has its full value within this time
    TimePoint deadline; ///< of the caller
    /// Fraction of the target that may be spent waiting; the rest is for the prefill and for
    /// prediction errors.
    double maxFraction = 0.5;
};

/// @brief When a refused request may retry.
/// @param predictedWait predicted time until the selected server has processed the backlog ahead
/// @return none if the request may be sent
[[nodiscard]] std::optional<TimePoint> refusedUntil(const WaitLimits &limits, Millis predictedWait,
                                                    TimePoint now);

} // namespace vanilladyke
