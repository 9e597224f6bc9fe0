#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Brings engines to new weights, a few at a time.
///
/// Load pattern: new weights are named for all engines at once, while requests keep coming. An
/// engine under order first ends its runs and then loads. All at once would take the whole capacity
/// away and slow every load down; one at a time would take longer than the platform allows, and
/// every answer on older weights is worth less. What slows a load down is other loads, not engines
/// that end their runs: loads are bounded by a part of the fleet, and engines under order by what
/// the time that orders were seen to take needs, so that a rollout ends in TimePart of the time
/// that the platform allows while enough engines serve. One that did not take its order is tried
/// again after a while, behind the others on its version; were it behind all others, each newer
/// version that is named meanwhile would pass over it.
///
/// Where runs take long or newer weights are named while older ones are still brought, a part of
/// the fleet at a time takes longer than is allowed. Engines on older weights get no requests from
/// then on anyway, so that towards the end there is nothing to lose by ordering more of them.
namespace vanilladyke {

/// @brief An engine as the node that gives orders sees it.
struct RolloutEngine
{
    EngineId id;
    std::uint64_t version = 0; ///< of the model's weights
    int running = 0;           ///< requests; the idlest engines go first
};

/// @brief Bounds of a rollout.
struct RolloutTerms
{
    /// From the naming of new weights until none may be answered on older ones.
    Duration allowed = std::chrono::milliseconds(15000);
    /// Of the fleet that may load at once: more make every load slower.
    double loadingPart = 0.2;
    /// Of the fleet that may be under order, if orders take so long that the time needs it, and
    /// before the end of the time is near.
    double outPart = 0.34;
};

/// @brief How far a rollout is.
struct RolloutProgress
{
    std::size_t pending = 0;    ///< engines on older weights
    std::size_t underOrder = 0; ///< of these
    std::size_t putOff = 0;     ///< of these, after a failure
    EngineId first;             ///< pending, not under order, that failed most often
    int firstFailures = 0;      ///< of that engine, in a row
};

/// @brief The course of a rollout of one model. Pure.
class WeightsRollout
{
public:
    static constexpr std::size_t LeastLoading = 2;
    /// Of the allowed time in which all engines are to be brought to the new weights.
    static constexpr double TimePart = 0.4;
    /// From this part of the time on more engines than RolloutTerms::outPart may be under order, if
    /// the others would not have their turn in time; the last ones still have to end their runs.
    static constexpr double HurryFrom = 0.6;
    static constexpr double HurryUntil = 0.85; ///< all engines may be from here on
    /// Of the time, when all engines are to be on new weights in a hurry.
    static constexpr double EndPart = 1.0;
    /// Doubled with each failure in a row, so that engines that are down don't hold the places.
    static constexpr Duration RetryAfter = std::chrono::milliseconds(400);
    static constexpr int MostDoublings = 3;
    /// What an order is believed to take before any has ended.
    static constexpr Duration FirstGuess = std::chrono::milliseconds(1500);

    explicit WeightsRollout(RolloutTerms terms = {})
        : m_terms(terms)
    {}

    /// @brief Names the version to bring about. A lower one than before changes nothing.
    void name(std::uint64_t version, TimePoint now);
    [[nodiscard]] std::uint64_t goal() const { return m_goal; }
    /// @brief The goal was named earlier than was thought.
    void date(TimePoint namedAt) { m_namedAt = namedAt; }
    [[nodiscard]] TimePoint namedAt() const { return m_namedAt; }
    [[nodiscard]] bool isPending(const std::vector<RolloutEngine> &engines) const;
    [[nodiscard]] RolloutProgress progress(const std::vector<RolloutEngine> &engines,
                                           TimePoint now) const;
    /// @brief Engines to order now.
    [[nodiscard]] std::vector<EngineId> next(std::vector<RolloutEngine> engines,
                                             TimePoint now) const;
    /// @brief The engine is being asked whether it may be given its order.
    void started(const EngineId &engine) { m_underOrder[engine] = {}; }
    /// @brief The order goes out.
    void ordered(const EngineId &engine, TimePoint now) { m_underOrder[engine].at = now; }
    /// @brief The engine tells whether it still ends runs; until then it counts as loading.
    void sawRuns(const EngineId &engine, bool hasRuns);
    /// @brief The engine has new weights, or did not take the order.
    void ended(const EngineId &engine, bool succeeded, TimePoint now);
    [[nodiscard]] bool isUnderOrder(const EngineId &engine) const
    {
        return m_underOrder.contains(engine);
    }
    /// @brief What orders take from being given to new weights in force, as lately seen.
    [[nodiscard]] Duration orderTime() const { return m_orderTime; }
    /// @brief Forgets what is under way: this node gives no orders any more.
    void abandon() { m_underOrder.clear(); }

private:
    struct Order
    {
        std::optional<TimePoint> at; ///< none until it is given
        bool endsRuns = false;
    };
    struct Failures
    {
        int inARow = 0;
        TimePoint notBefore;
    };

    [[nodiscard]] int failuresOf(const EngineId &engine) const;
    [[nodiscard]] bool isPutOff(const EngineId &engine, TimePoint now) const;

    [[nodiscard]] std::size_t mostLoading(std::size_t engines) const;
    [[nodiscard]] std::size_t mostUnderOrder(const std::vector<RolloutEngine> &engines,
                                             TimePoint now) const;
    /// Engines that have to be under order so that the others still have their turn in time.
    [[nodiscard]] double hurriedPlaces(const std::vector<RolloutEngine> &engines,
                                       TimePoint now) const;

    RolloutTerms m_terms;
    std::uint64_t m_goal = 0;
    TimePoint m_namedAt;
    Duration m_orderTime = FirstGuess;
    std::map<EngineId, Order> m_underOrder;
    std::map<EngineId, Failures> m_failures;
};

} // namespace vanilladyke
