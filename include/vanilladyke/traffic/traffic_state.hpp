#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/model/work_digest.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"
#include "vanilladyke/policy/fleet_retry_budget.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/request_quarantine.hpp"
#include "vanilladyke/policy/route_table.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"
#include "vanilladyke/traffic/dialect.hpp"
#include "vanilladyke/traffic/engine_ends.hpp"
#include "vanilladyke/traffic/ticker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

/// What all exchanges of a traffic thread share.
namespace vanilladyke {

class Exchange;

/// @brief Fixed at start.
struct TrafficSettings
{
    std::uint64_t self = 0; ///< hash of the node's name
    DataCentreId dataCentre;
    BackendCostParameters rates;
    Duration keysValidFor = std::chrono::milliseconds(4500); ///< after they were last proved
    bool failsClosed = true; ///< without proof of the keys' age no request with a key passes
    bool withdraws = true;   ///< what has not begun when its server's weights are too old
    bool sendsAgain = true;  ///< what may be repeated, to a second server
    bool resumes = true;     ///< streams that broke off, at another server
    bool quarantines = true; ///< requests under which engines end
    std::vector<WorkDigest> freedRequests; ///< let go by an operator
};

/// @brief State of the traffic thread. Only that thread touches it.
struct TrafficState
{
    TrafficState(asio::io_context &ioContext, Dialect wireDialect, TrafficSettings fixed,
                 std::uint64_t seed)
        : context(ioContext)
        , ticker(ioContext)
        , pool(ioContext, ticker)
        , ends(ioContext, pool)
        , dialect(std::move(wireDialect))
        , settings(std::move(fixed))
        , book(settings.dataCentre, settings.rates, settings.self)
        , quarantine(settings.self)
        , random(seed)
    {
        quarantine.setFreed(settings.freedRequests);
    }

    /// @brief Whether the node can show that its configuration and keys are young enough.
    [[nodiscard]] bool isFresh() const
    {
        return table != nullptr && configAge() <= settings.keysValidFor;
    }

    /// @brief Takes in when weights were named, and logs it if that is news.
    /// @param by who told, for the log
    void dateWeights(const AnnouncedWeights &weights, DateGrounds grounds, std::string_view by);

    asio::io_context &context;
    Ticker ticker;
    BackendPool pool;
    EngineEnds ends;
    Dialect dialect;
    TrafficSettings settings;
    BackendTracker book;
    KeptCacheView kept;
    FleetRetryBudget budget;
    WorkDigester digester;
    RequestQuarantine quarantine;
    Random random;
    Metrics metrics;
    std::shared_ptr<const RouteTable> table; ///< null until a configuration is known
    std::size_t nodes = 1;                   ///< that share the backend servers' connections
    bool isStopping = false;                 ///< not ready any more; requests are still served
    bool isLeaving = false; ///< no new request is begun: it might not end before the process does
    /// Age of the newest proof that the configuration is the newest, on a clock that counts
    /// suspension.
    std::function<Duration()> configAge = [] { return Duration::max(); };
    /// Shared: an exchange may outlive the state while a context is taken down.
    std::shared_ptr<std::unordered_set<Exchange *>> openExchanges =
            std::make_shared<std::unordered_set<Exchange *>>();
    /// Up to which offset this node knows the operator's records.
    std::function<std::uint64_t()> operatorNext = [] { return std::uint64_t{0}; };
    std::function<void(const std::vector<Endpoint> &)> peersChanged; ///< nodes came or went
    std::function<void()> tellPeers = [] {}; ///< news of servers that others should have at once
};

} // namespace vanilladyke
