#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <map>

/// Decides whether the holder of the order lease should release it because engines don't answer.
///
/// Load pattern: the links between the holder and the engines are cut, lose packets or are
/// congested, while the holder still reaches the store. It would renew the lease for as long as the
/// fault lasts. No other node may send orders meanwhile, so the engines stay on old weights.
namespace vanilladyke {

/// @brief Whether the engines to which a node sends orders answer its queries. Pure: performs no
/// I/O.
class EngineReachability
{
public:
    /// Fewer unanswered queries may be due to engines that are down.
    static constexpr int MinFailures = 3;
    /// Long enough for two consecutive queries.
    static constexpr Duration UnreachableAfter = std::chrono::milliseconds(1500);
    /// Time in which a node that released the lease does not claim it. Kept short: after an outage
    /// of all engines every node may be in this pause, and none would roll out new weights.
    static constexpr Duration ReleasePause = std::chrono::seconds(4);

    /// @brief Records that the engine answered a query. Orders are not counted: a reachable engine
    /// may leave an order unanswered, whichever node sent it.
    void answered(const EngineId &engine, TimePoint now);
    /// @brief Records that the engine did not answer a query in time.
    void failed(const EngineId &engine, TimePoint now);
    /// @brief Whether, for UnreachableAfter, no engine answered, or more engines were unresponsive
    /// than answered.
    [[nodiscard]] bool isUnreachable(TimePoint now) const;
    /// @brief Discards all results, when there are no more orders to send: they will be out of date
    /// when the next orders are due.
    void reset();
    /// @brief Records that this node releases the lease because the engines are unreachable.
    void leaseReleased(TimePoint now);
    /// @brief Whether this node does not claim the lease at @p now.
    [[nodiscard]] bool isPausing(TimePoint now) const { return now < m_pausedUntil; }
    [[nodiscard]] int failures() const { return m_failures; }

private:
    [[nodiscard]] bool isMajorityUnresponsive() const;
    void record(const EngineId &engine, bool hasAnswered, TimePoint now);

    std::map<EngineId, bool> m_hasAnswered; ///< by engine: result of the last query
    int m_failures = 0;                     ///< unanswered queries since the last answer
    TimePoint m_unansweredSince;            ///< start of the time without any answer
    TimePoint m_majorityUnresponsiveSince;
    TimePoint m_pausedUntil;
};

} // namespace vanilladyke
