#include "vanilladyke/app/node_command.hpp"

#include "platform/dialect.hpp"
#include "platform/engine_orders.hpp"
#include "platform/kv_events.hpp"
#include "platform/lease_log.hpp"
#include "platform/state_store.hpp"
#include "vanilladyke/app/command.hpp"
#include "vanilladyke/app/log_level.hpp"
#include "vanilladyke/app/node_settings.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/node/fresh_backends.hpp"
#include "vanilladyke/node/load_sharing.hpp"
#include "vanilladyke/node/peer_queries.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace vanilladyke {

namespace {

constexpr const char *SettingsVariable = "VANILLADYKE_NODE_FILE";
/// The balancer probes once a second and removes a node after two failed probes; until then new
/// connections arrive.
constexpr Duration BalancerLag = std::chrono::milliseconds(2600);
/// Requests that outlast the grace period get their final answer this long before the process is
/// killed.
constexpr Duration KillMargin = std::chrono::milliseconds(700);
/// For writing those answers; then connections that are still open are closed.
constexpr Duration FinalAnswerTime = std::chrono::milliseconds(300);
constexpr Duration StopPollInterval = std::chrono::milliseconds(50);
/// Number of nodes assumed until the node list has been read. The node may be one of hundreds that
/// were started together; if each used the whole retry budget of the fleet, the budget would be
/// exceeded hundreds of times.
constexpr std::size_t AssumedNodeCount = 1000;

/// Metrics of the customers' quotas, written when they are asked for.
std::string quotaMetrics(FleetQuota &quota)
{
    const TimePoint now = MonotonicClock::now();
    Metrics metrics;
    metrics.gauge("quota_heard_part", quota.heardPart(now));
    for (const QuotaAccount &each : quota.usedAccounts(now)) {
        const std::string label = "{customer=\"" + each.customer.str() + "\"}";
        metrics.gauge("quota_per_second" + label, each.perSecond);
        metrics.gauge("quota_level" + label, each.level);
        metrics.gauge("quota_admitted" + label, each.admitted);
        metrics.count("quota_refusals_total" + label, each.refusals);
    }
    return metrics.text();
}

/// A node: the traffic side and the control side, each on its own thread.
class RoutingNode
{
public:
    RoutingNode(const NodeSettings &settings, std::string path)
        : m_settings(settings)
        , m_path(std::move(path))
        , m_traffic(m_trafficContext, platform::makeDialect(), settings.traffic, entropySeed())
        , m_server(m_traffic, settings.listen)
        , m_leaseLog(m_controlContext, settings.store, m_era)
        , m_orders(m_controlContext)
        , m_keptCache(m_controlContext, entropySeed())
        , m_control(m_controlContext, m_traffic, settings.control, m_leaseLog, m_orders,
                    m_keptCache, entropySeed())
        , m_state(m_controlContext, settings.store, m_era)
        , m_follower(m_controlContext, m_state, m_records, m_control, m_control.storeCalls(), m_era,
                     identityOf(settings), settings.follow, entropySeed())
        , m_queries(m_controlContext, m_follower, settings.queries, entropySeed())
        , m_sharing(m_traffic, settings.peers, settings.queries.port)
        , m_signals(m_trafficContext, SIGTERM, SIGINT)
        , m_hangup(m_trafficContext, SIGHUP)
        , m_stopTimer(m_trafficContext)
    {
        m_traffic.configAge = [this] { return m_control.proof().age(); };
        m_traffic.backendsAge = [this] { return m_control.backendsProof().age(); };
        m_era.onChanged = [this](const StoreEraView &era) {
            m_eraSince = era.since.time_since_epoch().count();
            LogEvent("store_era")
                    .field("era", era.era)
                    .field("known_ms", BootClock::now() - era.since);
        };
        m_traffic.storeEra = [this] {
            return StoreEraView{m_follower.operatorEra(), TimePoint(Duration(m_eraSince.load()))};
        };
        m_traffic.operatorNext = [this] { return m_follower.operatorNext(); };
        m_traffic.retryBudget.setLimits(settings.traffic.fleetRetries);
        m_traffic.quota.setTolerance(settings.traffic.quotaTolerance);
        m_traffic.setNodes(AssumedNodeCount, "start");
    }

    int run()
    {
        if (const auto error = m_server.listen()) {
            LogEvent("listen_failed", Severity::Error).field("reason", *error);
            return CommandFailed;
        }
        if (const auto error = m_sharing.open()) {
            LogEvent("listen_failed", Severity::Error).field("reason", *error);
            return CommandFailed;
        }
        if (const auto error = m_queries.open()) {
            LogEvent("listen_failed", Severity::Error).field("reason", *error);
            return CommandFailed;
        }
        connectNodes();
        m_server.metricsText = [this] {
            return "log_lines_dropped_total " + std::to_string(droppedLogLines()) + "\n"
                   + quotaMetrics(m_traffic.quota);
        };
        m_traffic.ticker.onStep = [this](TimePoint now) {
            m_traffic.quota.step(now);
            m_sharing.step(now);
            if (m_traffic.reach.step(now)) {
                Exchange::suspectSilentServers(m_traffic, now);
            }
        };
        m_traffic.reach.onUnreachedChanged = [this] {
            m_sharing.sendSoon();
            Exchange::hedgeCutOff(m_traffic, MonotonicClock::now());
        };
        m_signals.async_wait([this](const ErrorCode &error, int signal) {
            if (!error) {
                stop(signal);
            }
        });
        awaitHangup();
        m_traffic.ticker.start();
        m_control.start();
        m_follower.start();
        LogEvent("start")
                .field("version", ProgramVersion)
                .field("callers", m_settings.listen.callers.str())
                .field("store", m_settings.store.str());
        std::thread control([this] { m_controlContext.run(); });
        m_trafficContext.run();
        m_controlContext.stop();
        control.join();
        LogEvent("stop").field("after_ms", MonotonicClock::now() - m_stopRequestedAt);
        return CommandDone;
    }

private:
    static NodeIdentity identityOf(const NodeSettings &settings)
    {
        return {settings.control.self, settings.traffic.self,
                hashOfName(settings.traffic.dataCentre.str()), settings.peers};
    }

    /// Connects the exchange of updates with other nodes to the traffic and control threads.
    void connectNodes()
    {
        m_traffic.onPeersChanged = [this](const std::vector<Endpoint> &peers) {
            m_sharing.setPeers(peers);
        };
        m_traffic.notifyPeers = [this] { m_sharing.sendSoon(); };
        m_traffic.readBackends = [this] { return m_freshBackends.wait(); };
        m_freshBackends.onWanted = [this](TimePoint since) {
            asio::post(m_controlContext, [this, since] { m_follower.readBackends(since); });
        };
        m_control.onBackendsProved = [this](TimePoint at) { m_freshBackends.proved(at); };
        m_control.onBackendsReadFailed = [this](TimePoint at) { m_freshBackends.failed(at); };
        m_traffic.tellOrigin = [this](const StreamOrigin &origin) {
            m_sharing.origins().tell(origin);
        };
        m_traffic.tellAllOrigins = [this] { m_sharing.origins().tellAll(); };
        m_traffic.askOrigin = [this](OriginQuery query) {
            return m_sharing.origins().ask(std::move(query));
        };
        m_traffic.askPlace = [this](PlaceQuery query) {
            return m_sharing.places().ask(std::move(query));
        };
        m_traffic.returnPlace = [this](const PlaceTicket &place, PlaceEnd end,
                                       const std::optional<ReportedLoad> &load) {
            m_sharing.places().giveBack(place, end, load);
        };
        m_sharing.nodeSeen = [this](std::uint64_t node, std::uint64_t centre, Endpoint endpoint) {
            asio::post(m_controlContext, [this, node, centre, endpoint = std::move(endpoint)] {
                m_follower.nodeSeen(node, centre, endpoint);
            });
        };
        m_sharing.receivedOperatorNext = [this](std::uint64_t era, Duration knownFor,
                                                std::uint64_t next) {
            asio::post(m_controlContext, [this, era, knownFor, next] {
                m_follower.receivedOperatorNext(era, knownFor, next);
            });
        };
        m_control.standbyRank = [this] { return m_follower.standbyRank(); };
        m_control.onSoftwareDue = [this](SoftwareRecords due) {
            m_follower.recordSoftware(std::move(due));
        };
        m_control.otherNodes = [this] { return m_follower.otherNodes(); };
        m_follower.onFleetKey = [this](const std::string &key) {
            LogEvent("fleet_key_known").field("bytes", key.size());
            m_queries.setKey(key);
            if (m_settings.follow.sharesStoreReads) {
                m_follower.setAskPeer([this](Endpoint peer, std::uint64_t operatorNext,
                                             std::uint64_t backendsNext) {
                    return m_queries.ask(std::move(peer), operatorNext, backendsNext);
                });
            }
            asio::post(m_trafficContext, [this, key] {
                m_sharing.setKey(key);
                m_traffic.digester.setKey(key);
            });
        };
    }

    void stop(int signal)
    {
        LogEvent("stopping").field("signal", signal).field("open", m_traffic.openExchanges->size());
        m_stopRequestedAt = MonotonicClock::now();
        m_traffic.stopsAt = m_stopRequestedAt + m_settings.grace - KillMargin;
        m_server.beginDrain();
        Exchange::endBeforeStop(m_traffic);
        asio::post(m_controlContext, [this] { m_control.releaseLease(); });
        pollStop();
    }

    void awaitHangup()
    {
        m_hangup.async_wait([this](const ErrorCode &error, int /*signal*/) {
            if (!error) {
                reload();
                awaitHangup();
            }
        });
    }

    /// Applies the settings that may change at run time; changed addresses and names need a
    /// restart.
    void reload()
    {
        const auto text = readFile(m_path);
        const auto settings =
                text ? parseNodeSettings(*text) : failure(std::vector<FieldError>{text.error()});
        if (!settings) {
            LogEvent("reload_failed", Severity::Error)
                    .field("path", m_path)
                    .field("errors", settings.error().size())
                    .field("first", describe(m_path, settings.error()));
            return;
        }
        const bool needsRestart = settings->listen.callers != m_settings.listen.callers
                                  || settings->store != m_settings.store
                                  || settings->peers != m_settings.peers
                                  || settings->control.self != m_settings.control.self;
        m_traffic.settings.keysValidFor = settings->traffic.keysValidFor;
        m_traffic.settings.failsClosed = settings->traffic.failsClosed;
        m_traffic.quarantine.setExempted(settings->traffic.releasedRequests);
        m_traffic.retryBudget.setLimits(settings->traffic.fleetRetries);
        m_traffic.quota.setTolerance(settings->traffic.quotaTolerance);
        LogEvent("reload").field("path", m_path).field("needs_start", needsRestart);
    }

    void pollStop()
    {
        const TimePoint now = MonotonicClock::now();
        if (now - m_stopRequestedAt >= BalancerLag) {
            m_server.stopAccepting();
        }
        const bool isDone = now - m_stopRequestedAt >= BalancerLag && m_server.isIdle();
        if (isDone || now >= *m_traffic.stopsAt + FinalAnswerTime) {
            LogEvent("stopped_traffic").field("open", m_traffic.openExchanges->size());
            m_trafficContext.stop();
            return;
        }
        m_stopTimer.expires_after(StopPollInterval);
        m_stopTimer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                pollStop();
            }
        });
    }

    NodeSettings m_settings;
    std::string m_path; ///< of the settings file
    asio::io_context m_trafficContext{1};
    asio::io_context m_controlContext{1};
    TrafficState m_traffic;
    TrafficServer m_server;
    StoreEra m_era;                           ///< used on the control thread
    std::atomic<Duration::rep> m_eraSince{0}; ///< of m_era, for the traffic thread
    platform::StoreLeaseLog m_leaseLog;
    platform::HttpEngineOrders m_orders;
    platform::KvEvents m_keptCache;
    ControlPlane m_control;
    platform::StateStore m_state;
    platform::StateRecords m_records;
    StateFollower m_follower;
    PeerQueries m_queries;
    FreshBackends m_freshBackends{m_trafficContext};
    LoadSharing m_sharing;
    asio::signal_set m_signals;
    asio::signal_set m_hangup; ///< SIGHUP: reload the settings file
    asio::steady_timer m_stopTimer;
    TimePoint m_stopRequestedAt;
};

} // namespace

int runNode(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs a node on the platform.", ' ', ProgramVersion);
    TCLAP::ValueArg<std::string> file("s", "settings",
                                      "settings file; default: the path in VANILLADYKE_NODE_FILE",
                                      false, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check", "only check the settings", line);
    if (const auto code = parseArguments(line, "node", arguments)) {
        return *code;
    }
    const char *fromEnvironment = std::getenv(SettingsVariable);
    std::string path = file.getValue();
    if (path.empty() && fromEnvironment != nullptr) {
        path = fromEnvironment;
    }
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().reason << '\n';
        return CommandFailed;
    }
    const auto settings = parseNodeSettings(*text);
    if (!settings) {
        std::cerr << describe(path, settings.error());
        return CommandFailed;
    }
    if (check.getValue()) {
        return CommandDone;
    }
    initializeLog(severityOf(settings->logLevel), settings->node, LogTarget::StandardOutput);
    std::signal(SIGPIPE,
                SIG_IGN); // else the node would end when a reader of its log closes the pipe
    RoutingNode node(*settings, path);
    const int code = node.run();
    // Skips destructors: aborted requests are suspended in coroutines that refer to each other and
    // to the node. Destroying them in order has kept processes from ending, and has no benefit
    // because the node holds no persistent state.
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(code);
}

} // namespace vanilladyke
