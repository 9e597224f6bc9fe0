#include "vanilladyke/app/serve.hpp"

#include "vanilladyke/app/peer_setup.hpp"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/bundle_log.hpp"
#include "vanilladyke/control/control_thread.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/control/engine_poller.hpp"
#include "vanilladyke/control/membership_controller.hpp"
#include "vanilladyke/gateway/caller_server.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/operators/operator_server.hpp"

#include <csignal>
#include <thread>

namespace vanilladyke {

namespace {

constexpr std::size_t InboxCapacity = 65'536;

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

/// The two threads that talk to the log's stream of bundles; none on a node without a log.
class BundleLog
{
public:
    BundleLog(const std::optional<PlatformSettings> &platform, Inbox &inbox)
        : m_platform(platform)
        , m_inbox(inbox)
    {
        if (platform) {
            m_appender.emplace(platform->log);
        }
    }

    void startReading()
    {
        if (m_platform) {
            m_tail.emplace(m_platform->log, m_inbox);
        }
    }

    void append(std::string record)
    {
        if (m_appender) {
            m_appender->append(std::move(record));
        }
    }

private:
    const std::optional<PlatformSettings> &m_platform;
    Inbox &m_inbox;
    std::optional<CheckpointAppender> m_appender;
    std::optional<BundleLogTail> m_tail;
};

BundleControl bundleControl(const HostSettings &settings, BundleLog &log)
{
    BundleControl control;
    control.node = settings.node;
    control.trusted = settings.trusted;
    if (settings.platform) {
        control.logRetention = settings.platform->logRetention;
    }
    control.appendCheckpoint = [&log](std::string record) { log.append(std::move(record)); };
    return control;
}

OperatorContext operatorContext(const HostSettings &settings, const FleetStore &fleet,
                                const BundleBoard &board, const Metrics &metrics)
{
    PublishSettings publishing;
    publishing.trusted = settings.trusted;
    if (settings.platform) {
        publishing.log = settings.platform->log;
    }
    return {settings.node, settings.operatorKeys, std::move(publishing), fleet, board, metrics, {}};
}

} // namespace

int serve(const HostSettings &settings)
{
    initializeLog(severityOf(settings.logLevel), settings.node.str());
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);

    const Outcome<PeerKeys, FieldError> peerKeys =
            settings.peers ? loadPeerKeys(*settings.peers) : newPeerKeys();
    if (!peerKeys) {
        LogEvent("settings_refused", Severity::Error)
                .field("field", peerKeys.error().field)
                .field("reason", peerKeys.error().reason);
        return EXIT_FAILURE;
    }
    Metrics metrics;
    FleetStore fleet;
    Inbox inbox(InboxCapacity);
    BundleBoard board;
    BundleLog bundleLog(settings.platform, inbox);
    BundleController bundles(bundleControl(settings, bundleLog), board, fleet);
    PeerTransport transport(*peerKeys, [&inbox](PeerMessage message, ReplyRoute route) {
        inbox.post(PeerHeard{std::move(message), std::move(route)});
    });
    MembershipController members(
            makeMembership(settings, std::chrono::system_clock::now()),
            [&transport](Outgoing outgoing) { transport.send(std::move(outgoing)); }, inbox,
            Random(entropySeed()));
    EngineController engines;
    if (settings.peers) {
        if (const auto refused = transport.start(settings.peers->listen)) {
            LogEvent("bind_failed", Severity::Error)
                    .field("peers", settings.peers->listen.str())
                    .field("reason", *refused);
            return EXIT_FAILURE;
        }
    }
    const ControlThread control(inbox, fleet, bundles, members, engines);
    const EnginePoller poller(fleet, inbox);
    OperatorServer operators(operatorContext(settings, fleet, board, metrics));
    if (!operators.bind(settings.operators)) {
        LogEvent("bind_failed", Severity::Error).field("operators", settings.operators.str());
        return EXIT_FAILURE;
    }
    bundleLog.startReading();

    CallerServer callers(fleet, metrics);
    if (!callers.bind(settings.callers)) {
        LogEvent("bind_failed", Severity::Error).field("callers", settings.callers.str());
        return EXIT_FAILURE;
    }
    std::thread traffic([&] { callers.run(); });
    std::thread operatorTraffic([&] { operators.run(); });
    LogEvent("serving").field("callers", settings.callers.str());
    int signal = 0;
    sigwait(&signals, &signal);
    LogEvent("stopping").field("signal", signal);
    callers.stop();
    traffic.join();
    operators.stop();
    operatorTraffic.join();
    LogEvent("stopped").field("exit", EXIT_SUCCESS);
    return EXIT_SUCCESS;
}

} // namespace vanilladyke
