#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"
#include "vanilladyke/model/member.hpp"
#include "vanilladyke/model/node_load.hpp"
#include "vanilladyke/model/slot_ages.hpp"

#include <cstdint>
#include <memory>
#include <vector>

/// The fleet as one node sees it: an immutable value that the control thread publishes and that
/// traffic threads read.
namespace vanilladyke {

/// @brief Whether an engine may be given work.
enum class EngineState {
    Unknown, ///< not heard of yet in this life of the node
    Ready,
    Loading, ///< its weights or models are not the wanted ones yet
    Leaving, ///< finishes what it has; no new work
    Dead,
};

/// @brief What an engine last said of its load. It lags: see measuredAt.
struct LoadReport
{
    TimePoint measuredAt;      ///< when the engine measured, by this node's clock
    std::uint32_t running = 0; ///< requests in its batch
    std::uint32_t waiting = 0; ///< requests not yet in the batch
    std::uint64_t queuedPrefillTokens = 0;
    double prefillTokensPerSecond = 10'000;
    double decodeTokensPerSecond = 40; ///< for one stream
};

/// @brief A short stand-in for an engine's id: the same on every node and in every build.
enum class EngineKey : std::uint64_t {};

[[nodiscard]] EngineKey engineKeyOf(const EngineId &id);

class FleetIndex;
class CustomerIndex;

/// @brief One engine.
struct EngineView
{
    EngineId id;
    EngineKey key{};
    Endpoint endpoint;
    DataCentreId dataCentre;
    Incarnation incarnation{};
    EngineState state = EngineState::Unknown;
    std::vector<ModelId> models; ///< those that it holds in the wanted weights version
    std::uint32_t slots = 0;
    LoadReport load;
    std::shared_ptr<const SlotAges> slotAges; ///< as of that report; null before any
};

/// @brief The ages after one more report of the engine.
[[nodiscard]] std::shared_ptr<const SlotAges>
agesAfter(const std::shared_ptr<const SlotAges> &before, const LoadReport &load);

/// @brief All that traffic needs to know, as of one moment.
struct Fleet
{
    std::shared_ptr<const Bundle> bundle; ///< null until one has been accepted
    LogOffset bundleOffset = 0;           ///< where the log has it; the fencing number of orders
    std::vector<EngineView> engines;      ///< in the bundle's order
    bool enginesKnown = false; ///< every engine has answered, or failed to, since the node's start
    std::uint32_t liveNodes = 1;     ///< nodes that share the engines, this one included
    std::vector<Member> members;     ///< all nodes known, this one first, the dead included
    std::vector<PeerLoad> peerLoads; ///< of the peers that were heard of lately
    bool leaving = false;            ///< this node is shutting down
    std::shared_ptr<const CustomerIndex> customers; ///< of the bundle; null while there is none
    std::shared_ptr<const FleetIndex> index; ///< of the engines above; null while there are none
};

/// @brief The model with this id; null if the bundle has none.
[[nodiscard]] const Model *findModel(const Bundle &bundle, const ModelId &id);
[[nodiscard]] const Service *findService(const Bundle &bundle, const ServiceId &id);
[[nodiscard]] const EngineView *findEngine(const Fleet &fleet, const EngineId &id);

/// @brief Whether the engine may be given new work for the model.
[[nodiscard]] bool serves(const EngineView &engine, const ModelId &model);

} // namespace vanilladyke
