#pragma once

namespace vanilladyke {

/// @brief Parses the command line and runs its subcommand.
/// @return 0 on success, 1 if the command failed, 2 on a usage error
[[nodiscard]] int runCommandLine(int argc, const char *const *argv);

} // namespace vanilladyke
