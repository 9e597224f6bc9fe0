#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/claim_events.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
#include "vanilladyke/policy/orders.hpp"
#include "vanilladyke/policy/peer_message.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Events of the control thread. Other threads post them and never change shared state themselves.
namespace vanilladyke {

/// @brief Makes controllers check their deadlines.
struct Tick
{};

/// @brief A page of the log's bundle stream was read.
struct BundleLogRead
{
    std::shared_ptr<const LogPage> page;
};

/// @brief A read of the log's bundle stream failed.
struct BundleLogDown
{
    std::string reason;
};

/// @brief An engine reported its state.
struct EngineReported
{
    EngineId engine;
    Incarnation incarnation{};
    std::vector<HeldModel> held;
    LoadReport load;
    std::vector<HeldModel> loading = {}; ///< models being loaded
};

/// @brief A poll of an engine failed or its answer was invalid.
struct EngineUnreachable
{
    EngineId engine;
    std::string reason;
};

/// @brief Whether an engine's cache stored or evicted a prefix.
enum class CacheEventKind { Stored, Evicted };

/// @brief One event of an engine's cache feed.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< starts at 1; a gap means that events were lost
    CacheEventKind kind = CacheEventKind::Stored;
    ChainHash hash;
};

/// @brief A page of an engine's cache feed was read.
struct CacheEventsRead
{
    EngineId engine;
    Incarnation incarnation{};
    std::uint64_t first = 0; ///< sequence number of the oldest event that the engine still has
    std::uint64_t next = 0;  ///< sequence number after the last event of this page
    std::vector<CacheEvent> events;
};

/// @brief This node sent a prompt to an engine, whose cache is expected to store it.
struct PrefixSent
{
    EngineKey engine{};
    Incarnation incarnation{};
    std::shared_ptr<const PrefixChain> chain;
};

/// @brief A shutdown of this node was requested.
struct StopRequested
{};

/// @brief The host list or a peer reports that an engine is about to stop; it gets no new work.
struct EngineLeaving
{
    EngineId engine;
};

/// @brief A message was received from a peer.
struct PeerMessageReceived
{
    PeerMessage message;
    ReplyRoute route;
};

/// @brief Load measured by this node's admission, to be sent to the peers.
struct LoadObserved
{
    NodeLoad load;
};

using Event = std::variant<Tick, BundleLogRead, BundleLogDown, EngineReported, EngineUnreachable,
                           EngineLeaving, StopRequested, PeerMessageReceived, CacheEventsRead,
                           PrefixSent, LoadObserved, ClaimEvent>;

/// @brief Whether the event may be dropped when the inbox is full, since a later one replaces it.
[[nodiscard]] bool isDroppable(const Event &event);

} // namespace vanilladyke
