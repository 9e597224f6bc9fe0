#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/cache_view.hpp"
#include "vanilladyke/policy/peer_message.hpp"

#include <string>
#include <string_view>

/// Peer messages as protobuf; proto/peers.proto is the form.
namespace vanilladyke {

/// @brief Why bytes are no peer message, for the log.
struct DecodeError
{
    std::string reason;
};

/// @brief The longest message that is read; a longer one is refused unread.
inline constexpr std::size_t MostMessageBytes = 1U << 20U;

[[nodiscard]] std::string encode(const PeerMessage &message);
/// @brief Reads and checks a message: every name present, every number in range.
[[nodiscard]] Outcome<PeerMessage, DecodeError> decode(std::string_view bytes);

/// @brief An item of a cache view's snapshot.
[[nodiscard]] std::string encode(const CacheEntry &entry);
[[nodiscard]] Outcome<CacheEntry, DecodeError> decodeCacheEntry(std::string_view bytes);

} // namespace vanilladyke
