#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <map>
#include <vector>

/// Brings engines to new weights, a few at a time.
///
/// Load pattern: new weights are named for all engines at once, while requests keep coming. All at
/// once would take the whole capacity away and slow every load down; one at a time would take
/// longer than the platform allows. Engines that load are bounded by a part of the fleet. One that
/// did not take its order is tried again after a while, behind the others.
namespace vanilladyke {

/// @brief An engine as the node that gives orders sees it.
struct RolloutEngine
{
    EngineId id;
    std::uint64_t version = 0; ///< of the model's weights
    int running = 0;           ///< requests; the idlest engines go first
};

/// @brief The course of a rollout of one model. Pure.
class WeightsRollout
{
public:
    /// Of the fleet that may load at once: just below what makes every load slower (a sixth of
    /// 18 engines, a fifth of 72).
    static constexpr double LoadingPart = 0.2;
    static constexpr std::size_t LeastLoading = 2;
    static constexpr Duration RetryAfter = std::chrono::milliseconds(400);

    /// @brief Names the version to bring about. A lower one than before changes nothing.
    void name(std::uint64_t version, TimePoint now);
    [[nodiscard]] std::uint64_t goal() const { return m_goal; }
    /// @brief The goal was named earlier than was thought.
    void date(TimePoint namedAt) { m_namedAt = namedAt; }
    [[nodiscard]] TimePoint namedAt() const { return m_namedAt; }
    [[nodiscard]] bool isPending(const std::vector<RolloutEngine> &engines) const;
    /// @brief Engines to order now.
    [[nodiscard]] std::vector<EngineId> next(std::vector<RolloutEngine> engines,
                                             TimePoint now) const;
    void started(const EngineId &engine) { m_loading[engine] = m_goal; }
    /// @brief The engine has new weights, or did not take the order.
    void ended(const EngineId &engine, bool succeeded, TimePoint now);
    [[nodiscard]] bool isLoading(const EngineId &engine) const
    {
        return m_loading.contains(engine);
    }
    /// @brief Forgets what is under way: this node gives no orders any more.
    void abandon() { m_loading.clear(); }

private:
    std::uint64_t m_goal = 0;
    TimePoint m_namedAt;
    std::map<EngineId, std::uint64_t> m_loading;
    std::map<EngineId, TimePoint> m_notBefore;
};

} // namespace vanilladyke
