#pragma once

#include "vanilladyke/model/member.hpp"
#include "vanilladyke/model/node_load.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between nodes, as values; the peers layer encodes them as protobuf.
namespace vanilladyke {

/// @brief Probe of the receiver.
struct Ping
{
    std::uint64_t sequence = 0;
};

/// @brief Answer to a Ping, or to a PingRequest whose target answered.
struct Ack
{
    std::uint64_t sequence = 0;
};

/// @brief Requests an indirect probe of a node that does not answer the sender.
struct PingRequest
{
    std::uint64_t sequence = 0;
    Endpoint target;
};

/// @brief Parts of a node's state that a starting node copies from a peer.
///
/// Claims are not included: a node may only admit a claim once it has read the log up to that claim
/// itself, and thereby reads the whole window. A peer's copy would save nothing.
enum class SnapshotSection { Bundle, CacheView };

/// @brief Requests one piece, of bounded size, of a section.
struct SnapshotRequest
{
    SnapshotSection section = SnapshotSection::Bundle;
    std::uint64_t cursor = 0; ///< 0 for the first piece, then nextCursor of the last piece
};

/// @brief One piece of a section; its items are encoded as the section defines.
struct SnapshotPiece
{
    SnapshotSection section = SnapshotSection::Bundle;
    std::uint64_t cursor = 0;     ///< of the request
    std::uint64_t nextCursor = 0; ///< 0 after the last piece
    std::vector<std::string> items;
};

/// @brief One message. Every message carries the sender's state and updates on other nodes.
struct PeerMessage
{
    Member from;
    std::vector<Member> updates;
    std::vector<EngineId> leavingEngines; ///< engines that must get no new requests
    std::variant<Ping, Ack, PingRequest, SnapshotRequest, SnapshotPiece> body;
    NodeLoad load = {}; ///< of the sender
};

/// @brief The return route to the sender of a message; valid only on the transport that issued it.
struct ReplyRoute
{
    std::string identity;
    auto operator<=>(const ReplyRoute &) const = default;
};

/// @brief The destination of a message.
using Destination = std::variant<Endpoint, ReplyRoute>;

/// @brief A message to send.
struct Outgoing
{
    Destination to;
    PeerMessage message;
};

} // namespace vanilladyke
