#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/claim_events.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/policy/peer_message.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// What the control thread hears. Other threads only post these; they never change shared state.
namespace vanilladyke {

/// @brief Nothing happened; controllers look at their deadlines.
struct Tick
{};

/// @brief A bundle was accepted and is in force from now on.
struct BundleAccepted
{
    std::shared_ptr<const Bundle> bundle;
};

/// @brief A model as an engine holds it.
struct HeldModel
{
    ModelId model;
    WeightsVersion weights;
};

/// @brief An engine told its state.
struct EngineReported
{
    EngineId engine;
    Incarnation incarnation{};
    std::vector<HeldModel> held;
    LoadReport load;
};

/// @brief An engine could not be reached at all.
struct EngineUnreachable
{
    EngineId engine;
    std::string reason;
};

/// @brief This node was told to stop.
struct StopRequested
{};

/// @brief An engine is about to stop, by the host list's or a peer's word; no new work for it.
struct EngineLeaving
{
    EngineId engine;
};

/// @brief A peer sent a message.
struct PeerHeard
{
    PeerMessage message;
    ReplyRoute route;
};

/// @brief What this node's admission sees of the load, to be told to the peers.
struct LoadObserved
{
    NodeLoad load;
};

using Event = std::variant<Tick, BundleAccepted, EngineReported, EngineUnreachable, EngineLeaving,
                           StopRequested, PeerHeard, LoadObserved, ClaimEvent>;

/// @brief Whether the event may be dropped when the inbox is full: a later one makes up for it.
[[nodiscard]] bool isSoft(const Event &event);

} // namespace vanilladyke
