#pragma once

#include <string>
#include <vector>

/// The subcommands for operators: keys, and the life of a bundle.
namespace vanilladyke {

/// @brief `keys new` and `keys show`. @return the exit code
[[nodiscard]] int runKeys(const std::string &verb, const std::vector<std::string> &arguments);

/// @brief `bundle check`, `sign`, `publish`, `status` and `history`. @return the exit code
[[nodiscard]] int runBundle(const std::string &verb, const std::vector<std::string> &arguments);

} // namespace vanilladyke
