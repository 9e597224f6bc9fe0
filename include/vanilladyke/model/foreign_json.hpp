#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

/// The one way by which JSON that another process wrote is parsed.
namespace vanilladyke {

/// @brief Maximum nesting depth of such JSON.
///
/// The JSON library copies and serializes by recursion: a value of some ten thousand brackets,
/// which fits into one record, would overflow the stack and crash the process.
inline constexpr std::size_t MaxJsonDepth = 100;

/// @brief The maximum number of brackets and braces open at once, not counting those in strings and
/// comments.
[[nodiscard]] std::size_t nestingDepth(std::string_view json);

/// @brief Whether JSON may hold comments.
enum class JsonComments { Rejected, Skipped };

/// @throws nlohmann::json::exception if the text is no JSON or nested deeper than MaxJsonDepth
[[nodiscard]] nlohmann::json parseForeignJson(std::string_view text,
                                              JsonComments comments = JsonComments::Rejected);

/// @brief The same without exceptions.
/// @return a discarded value if the text is no JSON or nested deeper than MaxJsonDepth
[[nodiscard]] nlohmann::json parseForeignJsonOrDiscard(std::string_view text);

} // namespace vanilladyke
