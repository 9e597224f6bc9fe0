#include "vanilladyke/app/shutdown.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>
#include <ctime>

namespace vanilladyke {

namespace {

constexpr Duration LookForSignalEvery = std::chrono::milliseconds(50);
/// Longer than a stream takes to notice that it has to end.
constexpr Duration HurryWithin = std::chrono::seconds(3);

/// @return whether a stop signal came before the deadline
bool signalledBefore(const sigset_t &signals, TimePoint deadline)
{
    const Duration left = std::max(deadline - MonotonicClock::now(), Duration::zero());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(left);
    timespec span{};
    span.tv_sec = seconds.count();
    span.tv_nsec = (left - seconds).count();
    const int signal = sigtimedwait(&signals, nullptr, &span);
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
    bool hurried = signalledBefore(signals, MonotonicClock::now() + balancerLag);
    callers.refuseNew();
    while (!hurried && !callers.waitUntilIdle(MonotonicClock::now() + LookForSignalEvery)) {
        hurried = signalledBefore(signals, MonotonicClock::now());
    }
    if (hurried) {
        callers.abortStreams();
        static_cast<void>(callers.waitUntilIdle(MonotonicClock::now() + HurryWithin));
    }
    callers.stop();
}

} // namespace vanilladyke
