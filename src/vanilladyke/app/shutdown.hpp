#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/gateway/caller_server.hpp"

#include <csignal>

/// The graceful shutdown of a node.
namespace vanilladyke {

/// @brief Blocks the stopping signals in this thread and all that it starts, so that one thread
/// waits for them instead of a handler that may do almost nothing.
[[nodiscard]] sigset_t blockStopSignals();

/// @brief Waits for the first of them.
void waitForSignal(const sigset_t &signals);

/// @brief Tells the balancer, serves everything as before until its lag has passed, then finishes
/// the requests under way. A second signal at any moment ends them with errors.
void shutDown(CallerServer &callers, const sigset_t &signals, Duration balancerLag);

} // namespace vanilladyke
