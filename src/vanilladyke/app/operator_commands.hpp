#pragma once

#include <string>
#include <vector>

/// The subcommands that ask a node's operators' interface.
namespace vanilladyke {

[[nodiscard]] int publishFile(const std::vector<std::string> &arguments);
[[nodiscard]] int printStatus(const std::vector<std::string> &arguments);
[[nodiscard]] int printHistory(const std::vector<std::string> &arguments);

} // namespace vanilladyke
