#pragma once

#include <string>
#include <vector>

/// Operator subcommands: key management, and checking, signing and publishing bundles.
namespace vanilladyke {

/// @brief Runs `keys new` and `keys show`. @return the exit code
[[nodiscard]] int runKeys(const std::string &verb, const std::vector<std::string> &arguments);

/// @brief Runs `bundle check`, `sign`, `publish`, `status` and `history`. @return the exit code
[[nodiscard]] int runBundle(const std::string &verb, const std::vector<std::string> &arguments);

} // namespace vanilladyke
