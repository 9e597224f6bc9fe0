#pragma once

#include <string>
#include <vector>

namespace vanilladyke {

/// @brief `vanilladyke node [--settings FILE] [--check]`: runs a node on the platform, or only
/// checks its settings. @return the exit code
[[nodiscard]] int runNode(const std::vector<std::string> &arguments);

} // namespace vanilladyke
