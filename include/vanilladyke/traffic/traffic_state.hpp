#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/model/work_digest.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"
#include "vanilladyke/policy/fleet_quota.hpp"
#include "vanilladyke/policy/fleet_retry_budget.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/place_book.hpp"
#include "vanilladyke/policy/relay_nodes.hpp"
#include "vanilladyke/policy/request_quarantine.hpp"
#include "vanilladyke/policy/route_table.hpp"
#include "vanilladyke/policy/software_history.hpp"
#include "vanilladyke/policy/store_era.hpp"
#include "vanilladyke/policy/stream_origins.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"
#include "vanilladyke/traffic/buffer_gate.hpp"
#include "vanilladyke/traffic/dialect.hpp"
#include "vanilladyke/traffic/engine_liveness_probe.hpp"
#include "vanilladyke/traffic/reach_monitor.hpp"
#include "vanilladyke/traffic/ticker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

/// State shared by all exchanges of a traffic thread.
namespace vanilladyke {

class Exchange;

/// @brief Settings of the traffic thread.
struct TrafficSettings
{
    std::uint64_t self = 0; ///< hash of the node's name
    DataCentreId dataCentre;
    BackendCostParameters rates;
    FleetRetryLimits fleetRetries;
    QuotaTolerance quotaTolerance;
    Duration keysValidFor = std::chrono::milliseconds(4500); ///< after their last freshness proof
    bool failsClosed = true;   ///< refuses requests with a key without a valid freshness proof
    bool isFirstStart = false; ///< of the whole fleet: no stream began before
    bool withdrawsRequests =
            true; ///< withdraws requests that have not begun when old weights expire
    /// A waiting request is hedged this long before the end of its server's weights, so that
    /// another server can answer in its place before it is withdrawn.
    Duration expiryHedgeMargin = std::chrono::milliseconds(1200);
    /// A waiting request is withdrawn this long before the end of its server's weights. Covers the
    /// time to remove it from the engine's queue.
    Duration withdrawMargin = std::chrono::milliseconds(400);
    bool retriesRequests = true;     ///< retries repeatable requests on another server
    bool relaysRequests = true;      ///< hands requests to other nodes where it reaches no server
    bool resumesStreams = true;      ///< resumes interrupted streams on another server
    bool quarantinesRequests = true; ///< quarantines requests under which engines end
    std::vector<WorkDigest> releasedRequests; ///< released from quarantine by an operator
    /// Memory for bodies of requests and for answers that are kept until they are whole.
    std::size_t bufferBytes = BufferGate::DefaultBytes;
};

/// @brief A stream that a caller takes up, and of which this node does not know the origin.
struct OriginQuery
{
    std::uint64_t attempt = 0; ///< attemptKey() of the first attempt
    bool isNamed = false;      ///< the caller named it
    ServiceId service;         ///< at which the stream would go on
};

/// @brief What other nodes say about the stream of an attempt.
struct OriginReport
{
    std::optional<std::uint64_t> software; ///< softwareKey() of the version that began it
    /// The version on which all streams of the service began, as an older node has seen it.
    std::optional<std::uint64_t> only;
    TimePoint onlyListedAt;      ///< when that node's list of servers was read at the latest
    std::size_t answers = 0;     ///< nodes that have answered
    std::size_t saidOnly = 0;    ///< of them, those that know of one version only
    std::size_t saidSeveral = 0; ///< of them, those that know of several
};

/// @brief A request that needs a place at a brittle engine.
struct PlaceQuery
{
    EngineId engine;
    double rejections = 0; ///< in a second, over which the engine falls over
    double tokens = 0;     ///< memory that the request takes at most; 0: not known
    int urgency = 5;       ///< 0 is the most urgent
    Duration patience{};   ///< for which it may wait for a place
};

/// @brief Names a place, to give it back.
struct PlaceTicket
{
    std::uint64_t engine = 0;  ///< hash of its id
    std::uint64_t id = 0;      ///< of the ask
    std::uint64_t grantor = 0; ///< hash of the address of the node that granted it
};

/// @brief The answer of the node that grants an engine's places.
struct PlaceReply
{
    bool isGranted = false;
    bool isSilent = false; ///< the node did not answer
    PlaceTicket ticket;
    Duration retryAfter{}; ///< if it is not granted
};

/// @brief State of the traffic thread, accessed from that thread only.
struct TrafficState
{
    TrafficState(asio::io_context &ioContext, Dialect wireDialect, TrafficSettings fixed,
                 std::uint64_t seed)
        : context(ioContext)
        , ticker(ioContext)
        , pool(ioContext, ticker)
        , livenessProbe(ioContext, pool)
        , dialect(std::move(wireDialect))
        , settings(std::move(fixed))
        , tracker(settings.dataCentre, settings.rates, settings.self)
        , quarantine(settings.self)
        , random(seed)
        , relays(hashOfName(settings.dataCentre.str()))
        , reach(context, pool, tracker, metrics)
        , buffers(std::make_shared<BufferGate>(context, settings.bufferBytes))
    {
        quarantine.setExempted(settings.releasedRequests);
    }

    /// @brief Whether the freshness proof of the configuration and keys is still valid.
    [[nodiscard]] bool isFresh() const
    {
        return table != nullptr && configAge() <= settings.keysValidFor;
    }

    /// @brief Sets the number of nodes that share the fleet's limits; logs a change.
    /// @param by source of the number, for the log
    void setNodes(std::size_t count, std::string_view by);
    /// @brief Replaces the configuration.
    void setTable(std::shared_ptr<const RouteTable> newTable, TimePoint now);
    /// @brief Replaces the list of servers.
    void setBackends(const std::vector<BackendEntry> &serving, TimePoint now);
    /// @brief Records which software version began a stream, and tells other nodes unless the
    /// version is the only one. To be called before the caller gets the first event: a node may end
    /// at any time.
    void streamBegan(const ServiceId &service, const StreamOrigin &origin, TimePoint now);

    /// @brief Records when weights were announced, and logs it if it changes the recorded date.
    /// @param by source of the date, for the log
    void recordWeightsDate(const AnnouncedWeights &weights, AnnouncementSource grounds,
                           std::string_view by);

    asio::io_context &context;
    Ticker ticker;
    BackendPool pool;
    EngineLivenessProbe livenessProbe;
    Dialect dialect;
    TrafficSettings settings;
    BackendTracker tracker;
    KeptCacheView keptCache;
    const TimePoint startedAt = MonotonicClock::now(); ///< of this process
    FleetRetryBudget retryBudget{startedAt};
    FleetQuota quota{startedAt};
    WorkDigester digester;
    RequestQuarantine quarantine;
    Random random;
    StreamOrigins origins;
    SoftwareHistory software{settings.isFirstStart};
    RelayNodes relays;
    Metrics metrics;
    ReachMonitor reach;
    /// Open requests that other nodes handed to this one; shared like openExchanges.
    std::shared_ptr<int> openRelayed = std::make_shared<int>(0);
    /// Memory for bodies and for answers that are kept; shared like openExchanges.
    std::shared_ptr<BufferGate> buffers;
    std::shared_ptr<const RouteTable> table; ///< null until a configuration is received
    std::size_t nodes = 1;                   ///< set by setNodes()
    bool isDraining = false;                 ///< reports not ready; requests are still served
    /// When requests that are still open get their final answer, because the process ends soon
    /// after; none until a stop was asked for.
    std::optional<TimePoint> stopsAt;
    /// Refuses new requests, because they might not complete before the process exits.
    bool isShuttingDown = false;
    /// Age of the latest freshness proof of the configuration, on a clock that includes time in
    /// suspension.
    std::function<Duration()> configAge = [] { return Duration::max(); };
    /// Age of the latest freshness proof of the list of servers, on the same clock.
    std::function<Duration()> backendsAge = [] { return Duration::max(); };
    /// Shared, because an exchange may outlive this state when the context is destroyed.
    std::shared_ptr<std::unordered_set<Exchange *>> openExchanges =
            std::make_shared<std::unordered_set<Exchange *>>();
    /// Era of the store in which the offset below holds, and since when it is known, on a clock
    /// that includes time in suspension. To be called before it.
    std::function<StoreEraView()> storeEra = [] { return StoreEraView(); };
    /// Offset of the first operator record that this node has not read.
    std::function<std::uint64_t()> operatorNext = [] { return std::uint64_t{0}; };
    std::function<void(const std::vector<Endpoint> &)> onPeersChanged; ///< called with the new list
    std::function<void()> notifyPeers = [] {
    }; ///< sends urgent updates to other nodes without delay
    /// Tells other nodes the origin of a stream.
    std::function<void(const StreamOrigin &)> tellOrigin = [](const StreamOrigin &) {};
    /// Tells other nodes the origins of all streams that this node knows.
    std::function<void()> tellAllOrigins = [] {};
    /// Asks for a place at a brittle engine; without other nodes each request has one.
    std::function<asio::awaitable<PlaceReply>(PlaceQuery)> askPlace =
            [](const PlaceQuery &) -> asio::awaitable<PlaceReply> {
        PlaceReply reply;
        reply.isGranted = true;
        co_return reply;
    };
    /// Gives a place back, with the load that the engine's answer told.
    std::function<void(const PlaceTicket &, PlaceEnd, const std::optional<ReportedLoad> &)>
            returnPlace = [](const PlaceTicket &, PlaceEnd, const std::optional<ReportedLoad> &) {};
    /// Asks other nodes for the origin of a stream.
    std::function<asio::awaitable<OriginReport>(OriginQuery)> askOrigin =
            [](const OriginQuery &) -> asio::awaitable<OriginReport> { co_return OriginReport{}; };
    /// Waits for a list of servers that is read by a call which begins now or later; see
    /// fresh_backends.hpp. False if the store gives none in time.
    std::function<asio::awaitable<bool>()> readBackends = []() -> asio::awaitable<bool> {
        co_return true;
    };
};

} // namespace vanilladyke
