#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <map>
#include <optional>
#include <vector>

/// Orders to engines: which engines are to load what, which may do so now, and who tells them.
///
/// Load pattern: a bundle names new weights for a model, or moves models between engines. Without
/// pacing all engines load at once: each takes several times as long, and no engine is left to
/// serve. Here at most `loads_at_once` engines change at a time, and an engine is only taken while
/// another one serves each model that it would give up. All nodes compute the same plan from the
/// same bundle and reports, so nobody has to be asked; a node that sees an engine's report a little
/// later than another one holds back longer, never shorter, than it should.
namespace vanilladyke {

/// @brief A model with all that belongs to it, as an engine holds it or is to hold it.
struct HeldModel
{
    ModelId model;
    WeightsVersion weights;
    std::vector<AdapterId> adapters = {};

    bool operator==(const HeldModel &) const = default;
};

/// @brief What this node knows of one engine. Lists of these are in the order of the bundle's
/// engines.
struct EngineHolding
{
    bool reachable = false;
    bool leaving = false;
    std::vector<HeldModel> held;
    std::vector<HeldModel> loading;
    std::uint32_t busy = 0; ///< requests running and waiting
};

/// @brief The weights that each model is served in: the wanted ones as soon as one engine holds
/// them, until then the ones before, so that a roll doesn't stop the model for a loading time.
using WeightsInService = std::map<ModelId, WeightsVersion>;

/// @brief Moves each model on to the bundle's weights when an engine holds them; never back.
/// @param before the result of the last call
[[nodiscard]] WeightsInService nextInService(const Bundle &bundle,
                                             const std::vector<EngineHolding> &engines,
                                             const WeightsInService &before);

/// @brief What the bundle wants an engine to hold.
[[nodiscard]] std::vector<HeldModel> wantedOf(const Bundle &bundle, const EngineEntry &entry);

/// @brief Whether the engine holds all that it is to hold, and nothing of it in other weights.
[[nodiscard]] bool holdsWanted(const std::vector<HeldModel> &wanted,
                               const std::vector<HeldModel> &held);

/// @brief The engines that may change now, at most `loads_at_once`: they get no new work.
/// @param offset of the bundle in the log; it decides the order in which engines are taken
[[nodiscard]] std::vector<EngineId> enginesToChange(const Bundle &bundle, LogOffset offset,
                                                    const std::vector<EngineHolding> &engines,
                                                    const WeightsInService &inService);

/// @brief The node that orders this engine, by rendezvous over the live nodes; none without nodes.
[[nodiscard]] std::optional<NodeId> ordererOf(const EngineId &engine,
                                              const std::vector<NodeId> &liveNodes);

/// @brief An order as it goes to an engine.
struct EngineOrder
{
    EngineId engine;
    Endpoint endpoint;
    LogOffset fencing = 0; ///< the bundle's offset: an engine refuses one below the highest seen
    std::uint64_t sequence = 0; ///< rises within one fencing number
    std::vector<HeldModel> models;
    EngineRole role = EngineRole::Serving;
};

/// @brief Timing of orders to one engine.
struct OrderTiming
{
    /// Requests that an engine still runs are let finish for so long before it is told to load.
    Duration drainWithin = std::chrono::seconds(10);
    /// An engine that does not even begin to load by then is ordered again: the order was lost, or
    /// an engine that ignores fencing took an old one after it.
    Duration againAfter = std::chrono::seconds(1);
};

/// @brief Decides when this node sends which order. Pure.
class OrderPlan
{
public:
    explicit OrderPlan(NodeId self, OrderTiming timing = {});

    /// @brief The orders to send now.
    /// @param wallNow gives the sequence numbers: a node that takes over goes on above them
    [[nodiscard]] std::vector<EngineOrder> due(const Bundle &bundle, LogOffset offset,
                                               const std::vector<EngineHolding> &engines,
                                               const std::vector<EngineId> &changing,
                                               const std::vector<NodeId> &liveNodes, TimePoint now,
                                               WallTime wallNow);

private:
    struct Progress
    {
        LogOffset offset = 0;
        TimePoint drainUntil;
        std::optional<TimePoint> sentAt;
    };

    NodeId m_self;
    OrderTiming m_timing;
    std::map<EngineId, Progress> m_progress;
};

} // namespace vanilladyke
