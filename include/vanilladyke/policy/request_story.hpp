#pragma once

#include "vanilladyke/base/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Tells what became of a request from the log lines of all nodes.
///
/// What it is for: a user complains of one answer, and the lines that explain it stand in the logs
/// of several nodes, most of them without the request's id: a store that was lost seconds before,
/// an engine that loaded new weights, a server that left.
namespace vanilladyke {

/// @brief One line of a node's log.
struct LogLine
{
    WallTime time;
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< as it was written
};

/// @brief Reads a line of key=value pairs; what comes before its time is skipped.
/// @return none if it is no line of a node's log
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view line);

/// @brief A request's lines, what happened around it, and what its outcome means.
struct RequestStory
{
    std::vector<LogLine> own;     ///< lines that name the request, oldest first
    std::vector<LogLine> context; ///< lines that explain them, oldest first
    std::string verdict;
};

/// @return a story without lines if no line names the request
[[nodiscard]] RequestStory tellStory(const std::vector<LogLine> &lines, const std::string &id);

} // namespace vanilladyke
