#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Compresses configuration records that nodes send to each other.
///
/// Load pattern: a configuration of two hundred customers is too large for one datagram.
/// Uncompressed, each of hundreds of nodes would read each change from the platform's store itself.
namespace vanilladyke {

/// @brief Upper bound of a decompressed record, so that a malformed one can't exhaust the memory.
inline constexpr std::size_t MaxUnpackedBytes = 4U << 20U;

/// @return four length bytes, lowest first, and the compressed record
[[nodiscard]] std::string packRecord(std::string_view record);
/// @return none if @p packed is malformed or its record too large
[[nodiscard]] std::optional<std::string> unpackRecord(std::string_view packed);

} // namespace vanilladyke
