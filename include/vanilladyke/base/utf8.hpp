#pragma once

#include <cstddef>
#include <string_view>

/// Text from outside the process, which may hold any bytes.
namespace vanilladyke {

/// @brief Bytes of the character that @p text begins with; 0 if it does not begin with one in
/// well-formed UTF-8.
[[nodiscard]] std::size_t utf8CharacterBytes(std::string_view text);

} // namespace vanilladyke
