#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/prefill_backlog.hpp"
#include "vanilladyke/policy/prefill_throughput.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Value types of the selection of a backend server; see backend_tracker.hpp.
namespace vanilladyke {

/// @brief Parameters of the cost model that ranks backend servers.
/// The defaults hold for any engine type; properties of the engines are learned or read from the
/// configuration.
struct BackendCostParameters
{
    double engineTokensPerMs = 2000; ///< transfer rate from another engine
    double keptTokensPerMs = 500;    ///< transfer rate from the kept-cache store
    Millis stepDelay{0.4};           ///< delay that each running request adds for the others
    /// Penalty for placing shared tokens in the memory of a second engine, where they evict others
    /// that will be requested again. In multiples of the tokens' prefill time.
    double copyPenalty = 3.4;
    /// Penalty for prefilling a part outside its preferred engine while no engine holds it: nodes
    /// without the placement update look for it at the preferred engine only. In multiples of its
    /// prefill time.
    double nonPreferredPenalty = 1.35;
    /// Round trip and a penalty for transfers between data centres.
    Millis crossDataCentrePenalty{6};
    /// Penalty for replaced weights, as a fraction of the target. An answer on old weights loses a
    /// fifth of its value, while one that comes later but within the target loses nothing; a delay
    /// is therefore weighted by one half.
    double oldWeightsPenalty = 0.4;
    /// A request is refused if its predicted wait exceeds this fraction of its target; see
    /// wait_limit.hpp.
    double maxWaitFraction = 0.5;
    /// Multiplier of the predicted wait when checking that a request begins before the end of the
    /// period in which old weights may be used.
    double oldWeightsWaitFactor = 1;
    /// Servers with old weights are excluded after this time.
    Duration oldWeightsPeriod = std::chrono::milliseconds(15000);
    /// Number of servers evaluated for a request without a preferred engine, the first of the
    /// node's own order, if the service has more than BackendTracker::EvaluateAllUpTo.
    std::uint64_t candidateCount = 12;
    /// The same for a request with a preferred engine: the first of the part's rendezvous order.
    std::uint64_t preferredCount = 3;
    /// Shared parts with a shorter prefill have no preferred engine; it takes less time than one
    /// step of an engine.
    Millis minPreferredPrefill{3};
    Millis failurePenalty{1500};      ///< penalty for a server whose requests all fail
    Millis unresponsivePenalty{3000}; ///< penalty for an unresponsive server
    /// Penalty for using the capacity of a rate-limited server while it is scarce, which leaves it
    /// to requests whose shared part that server holds. It is finite because the end of a limit is
    /// only seen in answers to requests.
    Millis limitedPenalty{40};
    // Each is false only where a mechanism is switched off to measure its effect.
    bool prefersByCommonBeginning = true;
    bool usesKeptStore = true;
    bool fetchesFromEngines = true;
    bool weighsUrgency = true;
    bool learnsThroughput = true;
    bool learnsSlowdown = true;
    bool countsPeerLoad = true;
    bool usesPlacementUpdates = true;
    bool enforcesLimits = true;
};

/// @brief Requirements of one request.
struct BackendQuery
{
    ServiceId service;
    ModelId model;          ///< empty for plain services
    std::string cacheGroup; ///< RouteTable::cacheGroup() of the customer
    /// The last part of the prompt that other requests may share; may be empty.
    std::string sharedPart;
    /// The part that determines the preferred engine; if empty, sharedPart. Parts with a common
    /// beginning that differ in less than half of their tokens have the same preferred engine, so
    /// that the common beginning is prefilled once.
    std::string preferencePart;
    std::uint64_t sharedTokens = 0; ///< up to the end of that part
    std::uint64_t ownTokens = 0;    ///< after the shared part
    /// The first token has its full value within this time.
    Duration target = std::chrono::milliseconds(500);
    int urgency = 5;               ///< 0 is the most urgent, 9 the least
    std::vector<EngineId> exclude; ///< servers that were tried before
    std::vector<EngineId> only;    ///< if not empty, no other servers may be chosen
    /// Set if a part of a stream was delivered: softwareKey() of the version that has to go on.
    std::optional<std::uint64_t> software;
    const KeptCacheView *kept = nullptr; ///< null: there is no kept-cache store
    std::uint64_t memoryTokens = 0;      ///< capacity of an engine's prefix cache; 0: unknown

    std::uint64_t minPreferredTokens = 512; ///< shorter shared parts have no preferred engine

    /// @brief Whether the shared part is expensive enough to prefer certain engines.
    [[nodiscard]] bool hasPreferredEngine() const;
    /// @brief Hash of the shared part and of the group of customers that share it.
    [[nodiscard]] std::uint64_t partKey() const;
    /// @brief Hash from which the rendezvous order of engines is computed.
    [[nodiscard]] std::uint64_t preferenceKey() const;

private:
    [[nodiscard]] std::uint64_t keyOf(const std::string &part) const;
};

/// @brief The selected server, with the predictions on which the selection is based.
struct BackendChoice
{
    BackendEntry backend;
    std::uint64_t weights = 0;      ///< version that the request will run on; 0: unknown
    std::uint64_t part = 0;         ///< BackendQuery::partKey; 0: no preferred engine
    std::uint64_t sharedTokens = 0; ///< tokens that other requests may share
    bool isCached = false; ///< the shared part is predicted to be in the engine's prefix cache
    std::optional<Endpoint> fetchFrom; ///< engine or store that may hold the shared part
    std::optional<Endpoint> saveTo;    ///< store that lacks the shared part
    std::uint64_t store = 0;   ///< hash of the store that the part would be fetched from; 0: none
    Millis cost{};             ///< predicted time with penalties
    Millis timeToFirstToken{}; ///< predicted time to the first token
    int urgency = 5;           ///< of the request
    TimePoint chosenAt;
    Millis wait{};            ///< share of `timeToFirstToken` spent on the backlog ahead
    double tokensPerMs = 0;   ///< predicted prefill throughput of the engine
    double prefillTokens = 0; ///< tokens to prefill, if the predicted cache content is right
    /// No backlog is known there: the time to the first token is a sample of the throughput.
    bool hasNoBacklog = false;
    Millis prefill{};           ///< share of `timeToFirstToken` spent on prefill
    std::size_t candidates = 0; ///< number of evaluated servers
    /// The request is handed to another node, which selects the server; `backend` is that node.
    bool isRelay = false;
};

/// @brief Load update: the load of one node at one backend server, sent to other nodes.
struct BackendLoadUpdate
{
    std::uint64_t backend = 0; ///< hash of the server's id
    PrefillBacklog backlog;    ///< predicted prefill time of its requests without a first token
    int inFlight = 0;          ///< requests of the node at the server
    Duration loading{};        ///< remaining time of a load of new weights
    std::uint64_t weights = 0; ///< version recorded by the node; 0: none
};

/// @brief Placement update: one node sent a request with an expensive shared part to a server.
struct PlacementUpdate
{
    std::uint64_t part = 0;    ///< BackendQuery::partKey
    std::uint64_t backend = 0; ///< hash of the server's id
    std::uint64_t weights = 0;
    std::uint64_t saved = 0;   ///< KeptCacheView::keyOf the part saved to a store; 0: none
    std::uint64_t written = 0; ///< tokens added to the engine's prefix cache
    std::uint64_t store = 0;   ///< store that holds the shared part; 0: no fetch needed
    std::uint64_t wanted = 0;  ///< tokens that would be fetched from it if its link has capacity
};

/// @brief Reason why no server can be selected.
struct NoBackend
{
    bool isKnown = false; ///< the service has servers, but all are excluded
    TimePoint retryAt;    ///< when a server may be available again
};

} // namespace vanilladyke
