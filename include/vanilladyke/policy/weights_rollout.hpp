#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Rolls new weights out to the engines of a model, a limited number at a time.
///
/// Load pattern: new weights are announced for all engines at once, while requests keep arriving.
/// An engine that is ordered to load first drains its running requests. Ordering all engines at
/// once would remove the whole capacity and slow down every load; ordering one at a time would take
/// longer than the platform allows, and answers on older weights have less value. Loads are slowed
/// down by concurrent loads, not by draining engines. Two limits therefore apply: concurrent loads
/// are limited to a fraction of the fleet, and orders in progress to the number that the measured
/// time of an order requires for the rollout to end within TimePart of the allowed time. An engine
/// that failed its order is retried after a back-off, behind the others on its version. It is not
/// put behind all others, since each newer version announced meanwhile would pass over it.
///
/// If requests run for long, or newer weights are announced during a rollout, these limits are too
/// low to meet the deadline. Engines on older weights get no requests after the deadline anyway, so
/// the limit on orders in progress is raised towards the end of the allowed time.
namespace vanilladyke {

/// @brief The state of an engine as recorded by the node that sends the orders.
struct RolloutEngine
{
    EngineId id;
    std::uint64_t version = 0; ///< of the model's weights
    int running = 0;           ///< requests; the engines with the fewest are ordered first
};

/// @brief Limits of a rollout.
struct RolloutTerms
{
    /// Time from the announcement of new weights in which requests may be answered on older ones.
    Duration allowed = std::chrono::milliseconds(15000);
    /// Largest fraction of the fleet that loads at once; more concurrent loads slow each other
    /// down.
    double loadingPart = 0.2;
    /// Largest fraction of the fleet with an order in progress, used in full only if orders take
    /// so long that the deadline requires it. Raised near the deadline, see ExpediteFrom.
    double orderedPart = 0.34;
};

/// @brief Progress of a rollout, for the log.
struct RolloutProgress
{
    std::size_t pending = 0;    ///< engines on older weights
    std::size_t ordered = 0;    ///< of these, with an order in progress
    std::size_t backingOff = 0; ///< of these, in back-off after a failure
    EngineId mostFailed;        ///< pending engine without an order that failed most often
    int mostFailures = 0;       ///< consecutive failures of that engine
};

/// @brief The rollout of one model's weights. Pure: performs no I/O.
class WeightsRollout
{
public:
    static constexpr std::size_t MinLoading = 2;
    /// Fraction of the allowed time in which the rollout is to be complete.
    static constexpr double TimePart = 0.4;
    /// From this fraction of the allowed time on, more orders than RolloutTerms::orderedPart may be
    /// in progress if the remaining engines would otherwise miss the deadline. The last engines
    /// still have to drain, which takes part of the time.
    static constexpr double ExpediteFrom = 0.6;
    static constexpr double ExpediteFullFrom =
            0.85; ///< from this fraction on, all engines may be ordered
    /// Fraction of the allowed time in which an expedited rollout is to be complete.
    static constexpr double ExpediteDeadlinePart = 1.0;
    /// Doubled with each consecutive failure, so that engines that are down don't occupy the slots.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(400);
    static constexpr int MaxDoublings = 3;
    /// Assumed duration of an order until one has completed.
    static constexpr Duration InitialOrderTime = std::chrono::milliseconds(1500);

    explicit WeightsRollout(RolloutTerms terms = {})
        : m_terms(terms)
    {}

    /// @brief Sets the target version. A version below the current target is ignored.
    void setTarget(std::uint64_t version, TimePoint now);
    [[nodiscard]] std::uint64_t target() const { return m_target; }
    /// @brief Corrects the announcement time of the target version.
    void setAnnouncedAt(TimePoint announcedAt) { m_announcedAt = announcedAt; }
    [[nodiscard]] TimePoint announcedAt() const { return m_announcedAt; }
    [[nodiscard]] bool isPending(const std::vector<RolloutEngine> &engines) const;
    [[nodiscard]] RolloutProgress progress(const std::vector<RolloutEngine> &engines,
                                           TimePoint now) const;
    /// @brief The engines to order now, the first to be ordered first.
    [[nodiscard]] std::vector<EngineId> enginesToOrder(std::vector<RolloutEngine> engines,
                                                       TimePoint now) const;
    /// @brief Reserves a slot for the engine while its state is queried before the order is sent.
    void reserve(const EngineId &engine) { m_orders[engine] = {}; }
    /// @brief Records that the order is being sent.
    void orderSent(const EngineId &engine, TimePoint now) { m_orders[engine].at = now; }
    /// @brief Records whether the engine is still draining. Until the first report it counts as
    /// loading.
    void setDraining(const EngineId &engine, bool isDraining);
    /// @brief Records that the engine has the new weights, or that the order failed.
    void orderEnded(const EngineId &engine, bool succeeded, TimePoint now);
    [[nodiscard]] bool hasOrder(const EngineId &engine) const { return m_orders.contains(engine); }
    /// @brief Moving average of the time from sending an order until the new weights are loaded.
    [[nodiscard]] Duration orderTime() const { return m_orderTime; }
    /// @brief Discards all orders in progress: this node no longer sends orders.
    void abandon() { m_orders.clear(); }

private:
    struct Order
    {
        std::optional<TimePoint> at; ///< none until the order is sent
        bool isDraining = false;
    };
    struct Failures
    {
        int consecutive = 0;
        TimePoint retryAt;
    };

    [[nodiscard]] int failuresOf(const EngineId &engine) const;
    [[nodiscard]] bool isBackingOff(const EngineId &engine, TimePoint now) const;

    [[nodiscard]] std::size_t maxLoadingEngines(std::size_t engines) const;
    [[nodiscard]] std::size_t maxOrders(const std::vector<RolloutEngine> &engines,
                                        TimePoint now) const;
    /// Number of concurrent orders needed for the remaining engines to meet the deadline.
    [[nodiscard]] double expeditedOrders(const std::vector<RolloutEngine> &engines,
                                         TimePoint now) const;

    RolloutTerms m_terms;
    std::uint64_t m_target = 0;
    TimePoint m_announcedAt;
    Duration m_orderTime = InitialOrderTime;
    std::map<EngineId, Order> m_orders;
    std::map<EngineId, Failures> m_failures;
};

} // namespace vanilladyke
