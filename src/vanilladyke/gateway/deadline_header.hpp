#pragma once

#include "vanilladyke/base/time.hpp"

#include <optional>
#include <string>

namespace vanilladyke {

/// @brief Parses a deadline: milliseconds since 1970, or RFC 3339 as in 2026-01-31T08:30:00.250Z.
/// @return none if the text is neither, or is more than a day away from now
[[nodiscard]] std::optional<WallTime>
parseDeadline(const std::string &text, WallTime now = std::chrono::system_clock::now());

} // namespace vanilladyke
