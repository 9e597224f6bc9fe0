#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <map>
#include <optional>
#include <vector>

/// Load orders to engines: which models each engine has to load, which engines may do so now, and
/// which node sends the order.
///
/// Load pattern: a bundle announces new weights for a model, or moves models between engines.
/// Without a limit all engines load at once: each load takes several times as long, and no engine
/// is left to serve. At most `loads_at_once` engines change at a time, and an engine is selected
/// only while another one serves each model that it would stop serving. All nodes compute the same
/// plan from the same bundle and reports, without coordination. A node that receives an engine's
/// report later than another waits longer than necessary, never shorter.
namespace vanilladyke {

/// @brief A model with its weights and adapters, as loaded on an engine or required by the bundle.
struct HeldModel
{
    ModelId model;
    WeightsVersion weights;
    std::vector<AdapterId> adapters = {};

    bool operator==(const HeldModel &) const = default;
};

/// @brief The last reported state of one engine. Lists of these are in the order of the bundle's
/// engines.
struct EngineHolding
{
    bool reachable = false;
    bool leaving = false;
    std::vector<HeldModel> held;
    std::vector<HeldModel> loading;
    std::uint32_t busy = 0; ///< number of running and waiting requests
};

/// @brief The weights in which each model is served: the bundle's weights as soon as one engine has
/// loaded them, until then the previous ones, so that the model stays available during the load.
using WeightsInService = std::map<ModelId, WeightsVersion>;

/// @brief Switches each model to the bundle's weights once an engine has loaded them; never back.
/// @param before the result of the previous call
[[nodiscard]] WeightsInService nextInService(const Bundle &bundle,
                                             const std::vector<EngineHolding> &engines,
                                             const WeightsInService &before);

/// @brief The models that the bundle requires on an engine.
[[nodiscard]] std::vector<HeldModel> requiredModels(const Bundle &bundle, const EngineEntry &entry);

/// @brief Whether all required models are loaded, with the required weights and adapters.
[[nodiscard]] bool holdsRequired(const std::vector<HeldModel> &required,
                                 const std::vector<HeldModel> &held);

/// @brief The engines that may change now, at most `loads_at_once`; they get no new requests.
/// @param offset of the bundle in the log; determines the order in which engines are selected
[[nodiscard]] std::vector<EngineId> enginesToChange(const Bundle &bundle, LogOffset offset,
                                                    const std::vector<EngineHolding> &engines,
                                                    const WeightsInService &inService);

/// @brief The node that sends orders to this engine, by rendezvous hashing over the live nodes.
/// @return none if there are no live nodes
[[nodiscard]] std::optional<NodeId> ordererOf(const EngineId &engine,
                                              const std::vector<NodeId> &liveNodes);

/// @brief An order as sent to an engine.
struct EngineOrder
{
    EngineId engine;
    Endpoint endpoint;
    LogOffset fencing = 0;      ///< the bundle's offset; an engine rejects one below its highest
    std::uint64_t sequence = 0; ///< increases within one fencing number
    std::vector<HeldModel> models;
    EngineRole role = EngineRole::Serving;
};

/// @brief Timing of orders to one engine.
struct OrderTiming
{
    /// Longest time for the engine's requests to finish before the order is sent.
    Duration drainWithin = std::chrono::seconds(10);
    /// Time after which an engine that has not started to load is ordered again: the order was
    /// lost, or an engine that ignores fencing executed an older order after it.
    Duration againAfter = std::chrono::seconds(1);
};

/// @brief Decides when this node sends which order. Pure: performs no I/O.
class OrderPlan
{
public:
    explicit OrderPlan(NodeId self, OrderTiming timing = {});

    /// @brief The orders to send now.
    /// @param wallNow gives the sequence numbers, so that a node that takes over continues above
    /// those of its predecessor
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
