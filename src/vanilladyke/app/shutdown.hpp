#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/gateway/caller_server.hpp"

#include <csignal>

/// The graceful shutdown of a node.
namespace vanilladyke {

/// @brief Blocks SIGTERM and SIGINT in this thread and the threads that it starts. One thread waits
/// for them instead, because a signal handler may call only async-signal-safe functions.
/// @return the blocked signals
[[nodiscard]] sigset_t blockStopSignals();

/// @brief Waits until one of the signals arrives.
void waitForSignal(const sigset_t &signals);

/// @brief Reports not ready to the balancer, keeps serving until the balancer lag has passed, then
/// refuses new requests and finishes those in progress. A second signal at any time ends them with
/// errors.
void shutDown(CallerServer &callers, const sigset_t &signals, Duration balancerLag);

} // namespace vanilladyke
