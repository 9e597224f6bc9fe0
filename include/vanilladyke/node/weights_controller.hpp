#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/ports.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/backend_roster.hpp"
#include "vanilladyke/policy/engine_reachability.hpp"
#include "vanilladyke/policy/weights_rollout.hpp"

#include <set>

/// Brings engines to the weights that the operator names, from one node at a time.
namespace vanilladyke {

/// @brief What the controller tells the traffic side.
struct WeightsNews
{
    std::function<void(const EngineId &, Duration)> loading; ///< no requests there for so long
    std::function<void(const EngineId &, const ModelId &, std::uint64_t)> loaded;
    std::function<void(const WeightsAge &)> aged; ///< another node has known the weights longer
};

/// @brief Lease, pacing and orders of one node. Runs on the control thread; the clock comes in.
class WeightsController
{
public:
    /// An engine's report is some hundred milliseconds old: asked earlier it doesn't show an order.
    static constexpr Duration ReportLag = std::chrono::milliseconds(400);
    static constexpr Duration NextQuestion = std::chrono::milliseconds(150);
    /// Of the time that orders take, after which an engine is asked whether it is done; asking
    /// earlier costs calls and brings nothing.
    static constexpr double FirstQuestionPart = 0.7;
    /// An engine under order is left alone for so much longer than is expected: slow nodes hear
    /// late that it takes longer, and that it is done opens it at once.
    static constexpr Duration AnnounceBeyond = std::chrono::milliseconds(1000);
    /// An engine that stays silent for so many questions is down and holds up others no longer.
    static constexpr int MostSilentAnswers = 2;
    /// So many of those that wait for the lease hear of each of its records at once: the holder is
    /// often the first of them, and the next one has to notice its end as soon as it may take over.
    /// The others look for themselves after a while that grows with their rank: nine that all hear
    /// of each renewal cost more calls than anything else that nodes do.
    static constexpr std::size_t Watchers = 2;
    static constexpr Duration LookAgain = std::chrono::milliseconds(1000);
    static constexpr std::size_t MostLookAgain = 5; ///< times LookAgain
    /// Between the claims of two ranks, so that the second finds the record of the first.
    static constexpr Duration RankPause = std::chrono::milliseconds(250);
    /// An order that shows no effect for so long is given again.
    static constexpr Duration OrderTimeout = std::chrono::seconds(8);
    /// How often a node that wants to order logs how far the rollout is and what it waits for.
    static constexpr Duration LogEvery = std::chrono::seconds(1);

    /// @brief A clock that counts suspension. Answers come between steps and after pauses, so that
    /// the time of the last step would be too old to tell whether the lease still holds.
    using Clock = std::function<TimePoint()>;

    WeightsController(std::string self, std::uint64_t incarnation, LeaseTerms terms,
                      const BackendRoster &roster, LeaseLog &log, EngineOrders &orders,
                      WeightsNews news, StoreCalls &calls, Clock clock, RolloutTerms rolloutTerms,
                      Random &random);

    void weightsNamed(const ModelId &model, std::uint64_t version, TimePoint now);
    /// @brief Does what is due. Called every few dozen milliseconds.
    void step(TimePoint now);
    [[nodiscard]] bool isPending() const;
    /// @brief This node's place among those that wait for the lease; none: it doesn't wait. A
    /// holder keeps the lease anyhow.
    void setStandbyRank(std::optional<std::size_t> rank) { m_rank = rank; }
    /// @brief Other nodes that may take the lease over.
    void setOtherNodes(std::size_t others) { m_otherNodes = others; }
    /// @brief Gives no orders any more and hands the lease on.
    void stop();
    [[nodiscard]] const OrderLease &lease() const { return m_lease; }

private:
    struct Load
    {
        ModelId model;
        std::uint64_t version = 0;
        TimePoint startedAt;
        TimePoint askAt;
        bool isAsking = false;
        bool wasOrdered = false;
        int silentAnswers = 0;      ///< questions in a row that were not answered
        TimePoint announcedUntil{}; ///< others were told that it loads until then
    };

    [[nodiscard]] std::vector<RolloutEngine> enginesOf(const ModelId &model) const;
    [[nodiscard]] std::uint64_t versionOf(const BackendEntry &entry, const ModelId &model) const;
    /// Whether this node should hold the lease or wait for it.
    [[nodiscard]] bool wantsToOrder(TimePoint now);
    void stepLease(bool wantsToOrder, TimePoint now);
    void readLease(TimePoint now);
    [[nodiscard]] Duration lookAgain() const;
    /// Whether this node's turn to claim has come, and it has seen what those before it did.
    [[nodiscard]] bool mayClaim(TimePoint now);
    void sawLease(const LeaseLogState &state);
    [[nodiscard]] LeaseUpdate leaseNews(TimePoint now) const;
    void startLoads(TimePoint now);
    void stepLoad(const EngineId &id, Load &load, TimePoint now);
    void reported(const EngineId &id, const std::optional<EngineReport> &report);
    void giveOrder(const BackendEntry &engine, Load &load, std::uint64_t accepted);
    void announce(const EngineId &id, Load &load, Duration expected);
    [[nodiscard]] WeightsRollout &rolloutOf(const ModelId &model);
    /// When an engine whose order was accepted is asked next.
    [[nodiscard]] TimePoint nextQuestion(const Load &load) const;
    void ordered(const EngineId &id, OrderEnd end);
    void finish(const EngineId &id, bool succeeded);
    void logProgress(TimePoint now);
    /// Why this node gives no orders; empty if it may.
    [[nodiscard]] std::string_view waitsFor(TimePoint now) const;

    std::string m_self;
    OrderLease m_lease;
    const BackendRoster &m_roster;
    LeaseLog &m_log;
    EngineOrders &m_orders;
    WeightsNews m_news;
    StoreCalls &m_calls;
    Clock m_clock;
    RolloutTerms m_rolloutTerms;
    Duration m_patience;
    std::map<ModelId, WeightsRollout> m_rollouts;
    std::map<EngineId, Load> m_loads;
    std::map<std::pair<EngineId, ModelId>, std::uint64_t> m_observed;
    std::map<EngineId, TimePoint> m_orderedAt; ///< last order of this node to the engine
    Duration m_gap;
    int m_openOrders = 0; ///< not answered yet
    bool m_stopping = false;
    std::optional<std::size_t> m_rank = 0; ///< among those that wait for the lease
    std::optional<TimePoint> m_wantsSince; ///< to give orders
    bool m_hasLooked = false;              ///< at the lease's log since then
    bool m_isReading = false;
    TimePoint m_readAt;
    EngineReachability m_reach;
    std::size_t m_otherNodes = 0;
    TimePoint m_loggedAt;
};

} // namespace vanilladyke
