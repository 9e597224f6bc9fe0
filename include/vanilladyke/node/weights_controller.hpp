#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/ports.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/backend_roster.hpp"
#include "vanilladyke/policy/engine_reachability.hpp"
#include "vanilladyke/policy/weights_rollout.hpp"

#include <set>

/// Rolls out the weights announced by the operator to the engines. One node at a time, the holder
/// of the order lease, sends orders.
namespace vanilladyke {

/// @brief Callbacks by which the controller updates the traffic side.
struct WeightsCallbacks
{
    /// The engine loads weights: no requests are to be sent to it for this long.
    std::function<void(const EngineId &, Duration)> loading;
    std::function<void(const EngineId &, const ModelId &, std::uint64_t)> loaded;
    /// Another node received the weights earlier than this one.
    std::function<void(const WeightsAge &)> receivedEarlier;
};

/// @brief Order lease, pacing and orders of one node. Runs on the control thread; the time is
/// passed in.
class WeightsController
{
public:
    /// An engine's report is a few hundred milliseconds old; a report requested sooner after an
    /// order doesn't show that order yet.
    static constexpr Duration ReportLag = std::chrono::milliseconds(400);
    static constexpr Duration ReportInterval = std::chrono::milliseconds(150);
    /// Fraction of the expected order time after which the first report is requested. Earlier
    /// requests cost calls and never show a finished order.
    static constexpr double FirstReportFraction = 0.7;
    /// Requests are kept away from an engine with an order for this much longer than the order is
    /// expected to take: slow nodes receive an extension late, and the end of the order makes the
    /// engine available at once.
    static constexpr Duration LoadingMargin = std::chrono::milliseconds(1000);
    /// An engine that leaves this many report requests in a row unanswered is treated as down, so
    /// that it doesn't block the orders of other engines.
    static constexpr int MaxUnansweredReports = 2;
    /// Number of standby nodes that long-poll the lease log and so receive each record at once. The
    /// holder is often the first of them, and the next one has to detect its failure as soon as it
    /// may take over. The others poll at an interval that grows with their rank: nine nodes that
    /// all receive each renewal cost more store calls than everything else that nodes do.
    static constexpr std::size_t LongPollingRanks = 2;
    static constexpr Duration LeasePollInterval = std::chrono::milliseconds(1000);
    static constexpr std::size_t MaxLeasePollFactor = 5; ///< times LeasePollInterval
    /// Delay between the claims of two ranks, so that the second one reads the record of the first.
    static constexpr Duration ClaimDelayPerRank = std::chrono::milliseconds(250);
    /// An order without effect for this long is sent again.
    static constexpr Duration OrderTimeout = std::chrono::seconds(8);
    /// Interval at which a node that needs the lease logs the rollout's progress.
    static constexpr Duration LogInterval = std::chrono::seconds(1);

    /// @brief A clock that keeps counting while the host is suspended. Answers arrive between steps
    /// and after suspensions, when the time of the last step is too old to check the lease against.
    using Clock = std::function<TimePoint()>;

    WeightsController(std::string self, std::uint64_t incarnation, LeaseTerms terms,
                      const BackendRoster &roster, LeaseLog &log, EngineOrders &orders,
                      WeightsCallbacks callbacks, StoreCalls &calls, Clock clock,
                      RolloutTerms rolloutTerms, Random &random);

    /// @brief Sets the version that all engines with the model are to be brought to.
    void weightsAnnounced(const ModelId &model, std::uint64_t version, TimePoint now);
    /// @brief Performs all due work. Called every few dozen milliseconds.
    void step(TimePoint now);
    [[nodiscard]] bool isPending() const;
    /// @brief Sets this node's rank among the standby nodes for the lease; none: it is not one of
    /// them. A holder keeps the lease in either case.
    void setStandbyRank(std::optional<std::size_t> rank) { m_rank = rank; }
    /// @brief Sets the number of other nodes that may take over the lease.
    void setOtherNodes(std::size_t others) { m_otherNodes = others; }
    /// @brief Stops sending orders and releases the lease.
    void stop();
    [[nodiscard]] const OrderLease &lease() const { return m_lease; }

private:
    struct Load
    {
        ModelId model;
        std::uint64_t version = 0;
        TimePoint startedAt;
        TimePoint reportAt;
        bool isAwaitingAnswer = false;
        bool wasOrdered = false;
        int unansweredReports = 0;  ///< report requests in a row without an answer
        TimePoint announcedUntil{}; ///< other nodes were sent this end of the load
    };

    /// What an engine's last report said.
    struct ReportedVersion
    {
        std::uint64_t start = 0; ///< of the engine
        std::uint64_t version = 0;
    };

    [[nodiscard]] std::vector<RolloutEngine> enginesOf(const ModelId &model) const;
    [[nodiscard]] std::uint64_t versionOf(const BackendEntry &entry, const ModelId &model) const;
    /// Whether this node has to hold the lease or wait for it.
    [[nodiscard]] bool needsLease(TimePoint now);
    void stepLease(bool needsLease, TimePoint now);
    void readLease(TimePoint now);
    void appended(const LeaseAppendAnswer &answer);
    [[nodiscard]] Duration leasePollDelay() const;
    /// Whether the delay of this node's rank has passed and it has read the claims of lower ranks.
    [[nodiscard]] bool mayClaim(TimePoint now);
    void applyLeaseState(const LeaseLogState &state);
    [[nodiscard]] std::vector<WeightsAge> weightsAges(TimePoint now) const;
    void startLoads(TimePoint now);
    void stepLoad(const EngineId &id, Load &load, TimePoint now);
    void reportReceived(const EngineId &id, const std::optional<EngineReport> &report);
    void sendOrder(const BackendEntry &engine, Load &load, std::uint64_t accepted);
    void announce(const EngineId &id, Load &load, Duration expected);
    [[nodiscard]] WeightsRollout &rolloutOf(const ModelId &model);
    /// Time of the next report request to an engine whose order was accepted.
    [[nodiscard]] TimePoint nextReportAt(const Load &load) const;
    void orderAnswered(const EngineId &id, OrderResult end);
    void endLoad(const EngineId &id, bool succeeded);
    void logProgress(TimePoint now);
    /// Why this node may send no orders; empty if it may.
    [[nodiscard]] std::string_view waitReason(TimePoint now) const;

    std::string m_self;
    OrderLease m_lease;
    const BackendRoster &m_roster;
    LeaseLog &m_log;
    EngineOrders &m_orders;
    WeightsCallbacks m_callbacks;
    StoreCalls &m_calls;
    Clock m_clock;
    RolloutTerms m_rolloutTerms;
    Duration m_claimDelay;
    std::map<ModelId, WeightsRollout> m_rollouts;
    std::map<EngineId, Load> m_loads;
    std::map<std::pair<EngineId, ModelId>, ReportedVersion> m_reported;
    int m_pendingOrders = 0; ///< without an answer yet
    bool m_stopping = false;
    std::optional<std::size_t> m_rank = 0;  ///< among the standby nodes
    std::optional<TimePoint> m_neededSince; ///< since when the lease is needed
    bool m_hasReadLease = false;            ///< whether the log was read since m_neededSince
    bool m_isReading = false;
    TimePoint m_nextReadAt;
    EngineReachability m_reachability;
    std::size_t m_otherNodes = 0;
    TimePoint m_loggedAt;
};

} // namespace vanilladyke
