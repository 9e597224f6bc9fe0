#pragma once

#include <string>
#include <vector>

/// The subcommands that call the operator API of a node.
namespace vanilladyke {

[[nodiscard]] int publishFile(const std::vector<std::string> &arguments);
[[nodiscard]] int printStatus(const std::vector<std::string> &arguments);
[[nodiscard]] int printHistory(const std::vector<std::string> &arguments);

} // namespace vanilladyke
