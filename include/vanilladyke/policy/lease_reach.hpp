#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <map>

/// Whether the holder of the lease of orders should hand it on, since engines don't answer it.
///
/// Load pattern: the links between the holder and engines are cut, lose packets or are choked,
/// while the holder still reaches the store. It renews the lease for as long as that lasts, and
/// nobody else may order: the engines stay on old weights.
namespace vanilladyke {

/// @brief What one node sees of the engines to which it gives orders. Pure.
class LeaseReach
{
public:
    /// Fewer tries without an answer may be engines that are down.
    static constexpr int LeastFailures = 3;
    /// Two questions in a row fit in it.
    static constexpr Duration LongestSilence = std::chrono::milliseconds(1500);
    /// A node that handed the lease on leaves it to others for so long. No longer: after an outage
    /// of all engines, nodes that all pause would leave new weights to nobody.
    static constexpr Duration Pause = std::chrono::seconds(4);

    /// @brief The engine answered a question. Orders count for nothing here: an engine that is
    /// reached may leave one unanswered, whoever gives it.
    void answered(const EngineId &engine, TimePoint now);
    /// @brief The engine did not answer a question in time.
    void failed(const EngineId &engine, TimePoint now);
    /// @brief Whether, for LongestSilence, no engine answered, or more were silent than answered.
    [[nodiscard]] bool isLost(TimePoint now) const;
    /// @brief No orders are wanted: what was seen says nothing of the next time.
    void forget();
    /// @brief This node gives the lease back for that reason.
    void handedOn(TimePoint now);
    /// @brief This node leaves the lease to others.
    [[nodiscard]] bool isPausing(TimePoint now) const { return now < m_pausesUntil; }
    [[nodiscard]] int failures() const { return m_failures; }

private:
    [[nodiscard]] bool mostAreSilent() const;
    void note(const EngineId &engine, bool hasAnswered, TimePoint now);

    std::map<EngineId, bool> m_hasAnswered; ///< each engine, when it was asked last
    int m_failures = 0;                     ///< since an engine answered
    TimePoint m_silentSince;                ///< no engine answered since
    TimePoint m_mostSilentSince;
    TimePoint m_pausesUntil;
};

} // namespace vanilladyke
