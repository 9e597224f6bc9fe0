#pragma once

#include <cstddef>
#include <string_view>

namespace vanilladyke {

/// @brief Maximum nesting depth of JSON from callers.
///
/// The JSON library serializes recursively; a body of a million brackets would overflow the stack
/// and crash the process with all its streams.
inline constexpr std::size_t MaxJsonDepth = 100;

/// @brief The maximum number of brackets and braces open at once, not counting those in strings.
[[nodiscard]] std::size_t nestingDepth(std::string_view json);

} // namespace vanilladyke
