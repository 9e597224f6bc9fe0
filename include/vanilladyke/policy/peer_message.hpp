#pragma once

#include "vanilladyke/model/member.hpp"
#include "vanilladyke/model/node_load.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What nodes say to each other, as values; the peers layer writes them as protobuf.
namespace vanilladyke {

/// @brief "Are you there?"
struct Ping
{
    std::uint64_t sequence = 0;
};

/// @brief "I am", or "the one you asked about is".
struct Ack
{
    std::uint64_t sequence = 0;
};

/// @brief "I can't reach this node; can you?"
struct PingRequest
{
    std::uint64_t sequence = 0;
    Endpoint target;
};

/// @brief Parts of a node's state that a starting node takes over.
///
/// Claims are none of them: a node may only let one through once it has read the log up to the
/// claim itself, and on the way it reads the whole window; a peer's copy would save nothing.
enum class SnapshotSection { Bundle, CacheView };

/// @brief Asks for one bounded piece of a section.
struct SnapshotRequest
{
    SnapshotSection section = SnapshotSection::Bundle;
    std::uint64_t cursor = 0; ///< 0 for the first piece, then as the last piece said
};

/// @brief One piece of a section; its items are in the section's own form.
struct SnapshotPiece
{
    SnapshotSection section = SnapshotSection::Bundle;
    std::uint64_t cursor = 0;     ///< that was asked for
    std::uint64_t nextCursor = 0; ///< 0 when there is no more
    std::vector<std::string> items;
};

/// @brief One message. Every message carries its sender and some news of others.
struct PeerMessage
{
    Member from;
    std::vector<Member> news;
    std::vector<EngineId> leavingEngines; ///< engines that are to get no new work
    std::variant<Ping, Ack, PingRequest, SnapshotRequest, SnapshotPiece> body;
    NodeLoad load = {}; ///< at the sender
};

/// @brief The way back to whoever sent a message; only valid on the transport that gave it.
struct ReplyRoute
{
    std::string identity;
    auto operator<=>(const ReplyRoute &) const = default;
};

/// @brief Where a message goes.
using Destination = std::variant<Endpoint, ReplyRoute>;

/// @brief A message to be sent.
struct Outgoing
{
    Destination to;
    PeerMessage message;
};

} // namespace vanilladyke
