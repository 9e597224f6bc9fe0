#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/claim_events.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
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

/// @brief What an engine's cache did with a prefix.
enum class CacheEventKind { Stored, Evicted };

/// @brief One event of an engine's cache feed.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< from 1, without gaps as long as none is lost
    CacheEventKind kind = CacheEventKind::Stored;
    ChainHash hash;
};

/// @brief A page of an engine's cache feed was read.
struct CacheEventsRead
{
    EngineId engine;
    Incarnation incarnation{};
    std::uint64_t first = 0; ///< the oldest event that the engine still has
    std::uint64_t next = 0;  ///< the event after this page
    std::vector<CacheEvent> events;
};

/// @brief This node sent a prompt to an engine, which will have it in its cache.
struct PrefixSent
{
    EngineKey engine{};
    Incarnation incarnation{};
    std::shared_ptr<const PrefixChain> chain;
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
                           StopRequested, PeerHeard, CacheEventsRead, PrefixSent, LoadObserved,
                           ClaimEvent>;

/// @brief Whether the event may be dropped when the inbox is full: a later one makes up for it.
[[nodiscard]] bool isSoft(const Event &event);

} // namespace vanilladyke
