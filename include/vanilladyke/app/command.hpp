#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

/// What the subcommands share: exit codes and the reading of arguments.
namespace vanilladyke {

inline constexpr int CommandDone = 0;
inline constexpr int CommandFailed = 1;
inline constexpr int CommandMisused = 2;
inline constexpr const char *ProgramVersion = "0.1.0";

/// @brief Reads the arguments; prints help, or what is wrong with them.
/// @param name the command as the user typed it, for the help's first line
/// @return the exit code if the command is over with that; none to go on
[[nodiscard]] std::optional<int> parseArguments(TCLAP::CmdLine &line, const std::string &name,
                                                const std::vector<std::string> &arguments);

/// @brief Writes a file. @return false, with the reason on standard error, if it can't be written
[[nodiscard]] bool writeFile(const std::string &path, const std::string &content, bool secret);

} // namespace vanilladyke
