#include "vanilladyke/app/serve.hpp"

#include "vanilladyke/app/bundle_setup.hpp"
#include "vanilladyke/app/peer_setup.hpp"
#include "vanilladyke/app/shutdown.hpp"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/bundle_snapshot.hpp"
#include "vanilladyke/control/cache_controller.hpp"
#include "vanilladyke/control/claim_controller.hpp"
#include "vanilladyke/control/claim_desk.hpp"
#include "vanilladyke/control/control_thread.hpp"
#include "vanilladyke/control/dump_state.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/control/engine_poller.hpp"
#include "vanilladyke/control/host_list_poller.hpp"
#include "vanilladyke/control/membership_controller.hpp"
#include "vanilladyke/control/order_controller.hpp"
#include "vanilladyke/control/snapshot_stores.hpp"
#include "vanilladyke/gateway/caller_server.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include <array>
#include <csignal>
#include <optional>
#include <thread>

namespace vanilladyke {

namespace {

constexpr std::size_t InboxCapacity = 65'536;
/// 524,288 entries of 32 bytes: with two holders each, prefixes of 134 million tokens in blocks of
/// 512. Half of the memory that a node may spend on control.
constexpr std::size_t CacheViewBytes = 16U << 20U;
constexpr std::string_view ClaimStream = "claims";
/// Outcomes that are not in the log when a node stops are "unknown" to all repeats from then on.
constexpr Duration FlushWithin = std::chrono::seconds(5);

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

/// The first TLS file of the settings that can't be read; none if all can.
std::optional<FieldError> unreadableTlsFile(const HostSettings &settings)
{
    const std::array<std::pair<const char *, const std::string *>, 3> files{{
            {"callers_tls.certificate", &settings.callersTls.certificate},
            {"callers_tls.private_key", &settings.callersTls.privateKey},
            {"backends_tls.authority", &settings.backendsTls.authorityFile},
    }};
    for (const auto &[field, file] : files) {
        const auto content = file->empty() ? Outcome<std::string, FieldError>() : readFile(*file);
        if (!content) {
            return FieldError{field, *file, content.error().reason};
        }
    }
    return std::nullopt;
}

CallerServerOptions callerOptions(const HostSettings &settings, ClaimDesk *claims)
{
    return {settings.callersTls.certificate, settings.callersTls.privateKey, settings.backendsTls,
            settings.streamKey, claims};
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
    if (const auto unreadable = unreadableTlsFile(settings)) {
        LogEvent("settings_refused", Severity::Error)
                .field("field", unreadable->field)
                .field("file", unreadable->value)
                .field("reason", unreadable->reason);
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
    const auto sendToPeer = [&transport](Outgoing outgoing) {
        transport.send(std::move(outgoing));
    };
    MembershipController members(makeMembership(settings, std::chrono::system_clock::now()),
                                 sendToPeer, inbox, Random(entropySeed()));
    BundleSnapshot bundleSnapshot(bundles);
    EngineController engines;
    OrderSender orderSender(settings.backendsTls);
    OrderController orders(settings.node, engines, orderSender);
    SharedCacheView cacheView(CacheViewBytes);
    CacheController cache(cacheView);
    SnapshotController snapshots({bundleSnapshot.store(), cacheViewStore(cacheView, cache)},
                                 sendToPeer);
    if (settings.peers) {
        if (const auto refused = transport.start(settings.peers->listen)) {
            LogEvent("bind_failed", Severity::Error)
                    .field("peers", settings.peers->listen.str())
                    .field("reason", *refused);
            return EXIT_FAILURE;
        }
    }
    ClaimIo claimIo;
    ClaimController claims(ProcessId(newUuid()), settings.node, claimIo);
    ClaimDesk claimDesk(inbox);
    const ControlThread control(inbox, fleet, bundles, members, engines, cache, orders, claims,
                                snapshots);
    std::optional<ClaimLog<LogClient>> claimLog;
    if (settings.platform) {
        claimLog.emplace(LogClient(settings.platform->log, std::string(ClaimStream)),
                         LogClient(settings.platform->log, std::string(ClaimStream)), claimIo,
                         inbox, metrics);
    }
    const EnginePoller poller(fleet, inbox, settings.backendsTls);
    OperatorContext operatorSide = operatorContext(settings, fleet, board, metrics);
    operatorSide.stateDump = [&fleet, &cacheView] { return dumpState(fleet, cacheView); };
    OperatorServer operators(std::move(operatorSide));
    if (!operators.bind(settings.operators)) {
        LogEvent("bind_failed", Severity::Error).field("operators", settings.operators.str());
        return EXIT_FAILURE;
    }
    bundleLog.startReading();
    std::optional<HostListPoller> hostList;
    if (settings.platform && settings.platform->hosts) {
        hostList.emplace(*settings.platform->hosts, fleet, inbox);
    }

    CallerServer callers({fleet, cacheView, inbox}, metrics,
                         callerOptions(settings, settings.platform ? &claimDesk : nullptr));
    if (!callers.tlsUsable()) {
        LogEvent("settings_refused", Severity::Error)
                .field("field", "callers_tls")
                .field("reason", "no certificate with its private key in these PEM files");
        return EXIT_FAILURE;
    }
    if (!callers.bind(settings.callers)) {
        LogEvent("bind_failed", Severity::Error).field("callers", settings.callers.str());
        return EXIT_FAILURE;
    }
    std::thread traffic([&] { callers.run(); });
    std::thread operatorTraffic([&] { operators.run(); });
    LogEvent("serving").field("callers", settings.callers.str());
    waitForSignal(signals);
    inbox.post(StopRequested{});
    shutDown(callers, signals, settings.balancerLag);
    traffic.join();
    if (!claimIo.flush(MonotonicClock::now() + FlushWithin)) {
        LogEvent("claims_unflushed", Severity::Warning);
    }
    operators.stop();
    operatorTraffic.join();
    LogEvent("stopped").field("exit", EXIT_SUCCESS);
    return EXIT_SUCCESS;
}

} // namespace vanilladyke
