#pragma once

#include <cstddef>
#include <string_view>

namespace vanilladyke {

/// @brief The deepest JSON that callers may send.
///
/// The JSON library writes a value by recursion; a body of a million brackets would overflow the
/// stack and end the process with every stream on it.
inline constexpr std::size_t DeepestJson = 100;

/// @brief The most brackets and braces open at once, those in strings left out.
[[nodiscard]] std::size_t nestingDepth(std::string_view json);

} // namespace vanilladyke
