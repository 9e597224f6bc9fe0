#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

/// Helpers shared by the subcommands: exit codes, argument parsing and file output.
namespace vanilladyke {

inline constexpr int CommandDone = 0;
inline constexpr int CommandFailed = 1;
inline constexpr int CommandUsageError = 2;
inline constexpr const char *ProgramVersion = "0.1.0";

/// @brief Parses the arguments. Prints the help text on request, and a message on an error.
/// @param name the command as the user typed it; shown in the first line of the help text
/// @return the exit code if the command must end now; nullopt to continue
[[nodiscard]] std::optional<int> parseArguments(TCLAP::CmdLine &line, const std::string &name,
                                                const std::vector<std::string> &arguments);

/// @brief Writes a file and prints the reason to standard error if that fails.
/// @param secret whether only the owner may read the file
/// @return whether the file was written
[[nodiscard]] bool writeFile(const std::string &path, const std::string &content, bool secret);

} // namespace vanilladyke
