#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Records of the configuration as nodes hand them to each other, compressed.
///
/// Load pattern: a configuration of two hundred customers is larger than what one datagram should
/// carry. Each of hundreds of nodes would read each change from the platform's store itself.
namespace vanilladyke {

/// @brief A record unpacked is never larger: a node that sends nonsense must not fill the memory.
inline constexpr std::size_t MostUnpackedBytes = 4U << 20U;

[[nodiscard]] std::string packRecord(std::string_view record);
/// @return none if it was not packed so, or would be too large
[[nodiscard]] std::optional<std::string> unpackRecord(std::string_view packed);

} // namespace vanilladyke
