#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/cache_view.hpp"
#include "vanilladyke/policy/peer_message.hpp"

#include <string>
#include <string_view>

/// Protobuf encoding of peer messages; the schema is proto/peers.proto.
namespace vanilladyke {

/// @brief Reason why decoding failed, for the log.
struct DecodeError
{
    std::string reason;
};

/// @brief Maximum size of a message in bytes; larger messages are rejected without parsing.
inline constexpr std::size_t MaxMessageBytes = 1U << 20U;

[[nodiscard]] std::string encode(const PeerMessage &message);
/// @brief Parses and validates a message: names must be present and numbers in range.
[[nodiscard]] Outcome<PeerMessage, DecodeError> decode(std::string_view bytes);

/// @brief Encodes one item of a cache view snapshot.
[[nodiscard]] std::string encode(const CacheEntry &entry);
[[nodiscard]] Outcome<CacheEntry, DecodeError> decodeCacheEntry(std::string_view bytes);

} // namespace vanilladyke
