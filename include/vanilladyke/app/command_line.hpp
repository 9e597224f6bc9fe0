#pragma once

namespace vanilladyke {

/// @brief Reads the command line and runs the subcommand that it names.
/// @return 0 on success, 1 if the command failed, 2 if it was called wrongly
[[nodiscard]] int runCommandLine(int argc, const char *const *argv);

} // namespace vanilladyke
