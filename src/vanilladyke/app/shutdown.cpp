#include "vanilladyke/app/shutdown.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>
#include <cerrno>
#include <ctime>

namespace vanilladyke {

namespace {

constexpr Duration SignalPollInterval = std::chrono::milliseconds(50);
/// Longer than a stream takes to detect that it must end.
constexpr Duration ForcedStopTimeout = std::chrono::seconds(3);

/// @return whether a stop signal arrived before the deadline
bool signalledBefore(const sigset_t &signals, TimePoint deadline)
{
    int signal = -1;
    do {
        const Duration remaining = std::max(deadline - MonotonicClock::now(), Duration::zero());
        const auto seconds = std::chrono::floor<std::chrono::seconds>(remaining);
        timespec timeout{};
        timeout.tv_sec = seconds.count();
        timeout.tv_nsec = (remaining - seconds).count();
        signal = sigtimedwait(&signals, nullptr, &timeout);
        // A process that was frozen and resumed is interrupted here before the deadline.
    } while (signal < 0 && errno == EINTR);
    if (signal > 0) {
        LogEvent("stopping_at_once", Severity::Warning).field("signal", signal);
    }
    return signal > 0;
}

} // namespace

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    LogEvent("stopping").field("signal", signal);
}

void shutDown(CallerServer &callers, const sigset_t &signals, Duration balancerLag)
{
    callers.beginDrain();
    bool forced = signalledBefore(signals, MonotonicClock::now() + balancerLag);
    callers.refuseNew();
    while (!forced && !callers.waitUntilIdle(MonotonicClock::now() + SignalPollInterval)) {
        forced = signalledBefore(signals, MonotonicClock::now());
    }
    if (forced) {
        callers.abortStreams();
        static_cast<void>(callers.waitUntilIdle(MonotonicClock::now() + ForcedStopTimeout));
    }
    callers.stop();
}

} // namespace vanilladyke
