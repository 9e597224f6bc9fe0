#include "vanilladyke/app/serve.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/control_thread.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/control/engine_poller.hpp"
#include "vanilladyke/gateway/caller_server.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <thread>

namespace vanilladyke {

namespace {

constexpr std::size_t InboxCapacity = 65'536;
constexpr Duration LookForSignalEvery = std::chrono::milliseconds(50);
/// Longer than a stream takes to notice that it has to end.
constexpr Duration HurryWithin = std::chrono::seconds(3);

Severity severityOf(const std::string &level)
{
    if (level == "debug") {
        return Severity::Debug;
    }
    if (level == "warning") {
        return Severity::Warning;
    }
    return level == "error" ? Severity::Error : Severity::Info;
}

/// Blocks the stopping signals in this thread and all that it starts, so that one thread waits for
/// them instead of a handler that may do almost nothing.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void takeBundleFile(const std::string &path, Inbox &inbox)
{
    const auto text = readFile(path);
    const auto bundle = parseBundle(text ? *text : "");
    if (!bundle) {
        LogEvent("bundle_refused", Severity::Error)
                .field("file", path)
                .field("errors", describe(path, bundle.error()));
        return;
    }
    inbox.post(BundleAccepted{std::make_shared<const Bundle>(*bundle)});
}

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

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    LogEvent("stopping").field("signal", signal);
}

/// Not ready for the balancer, then until its lag has passed everything is served as before, then
/// the requests under way are finished. A second signal at any moment ends them with errors.
void shutDown(CallerServer &callers, const sigset_t &signals, Duration balancerLag)
{
    callers.leave();
    bool hurried = signalledBefore(signals, MonotonicClock::now() + balancerLag);
    callers.refuseNew();
    while (!hurried && !callers.waitUntilIdle(MonotonicClock::now() + LookForSignalEvery)) {
        hurried = signalledBefore(signals, MonotonicClock::now());
    }
    if (hurried) {
        callers.hurry();
        static_cast<void>(callers.waitUntilIdle(MonotonicClock::now() + HurryWithin));
    }
    callers.stop();
}

} // namespace

int serve(const HostSettings &settings)
{
    initializeLog(severityOf(settings.logLevel), settings.node.str());
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);

    Metrics metrics;
    FleetStore fleet;
    Inbox inbox(InboxCapacity);
    BundleController bundles;
    EngineController engines;
    const ControlThread control(inbox, fleet, bundles, engines);
    const EnginePoller poller(fleet, inbox);
    if (!settings.bundleFile.empty()) {
        takeBundleFile(settings.bundleFile, inbox);
    }

    CallerServer callers(fleet, metrics, {settings.streamKey});
    if (!callers.bind(settings.callers)) {
        LogEvent("bind_failed", Severity::Error).field("callers", settings.callers.str());
        return EXIT_FAILURE;
    }
    std::thread traffic([&] { callers.run(); });
    LogEvent("serving").field("callers", settings.callers.str());
    waitForSignal(signals);
    inbox.post(StopRequested{});
    shutDown(callers, signals, settings.balancerLag);
    traffic.join();
    LogEvent("stopped").field("exit", EXIT_SUCCESS);
    return EXIT_SUCCESS;
}

} // namespace vanilladyke
