#pragma once

#include "vanilladyke/base/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Builds the timeline of a request from the log lines of all nodes.
///
/// Used to analyse a single answer. The lines that explain it are in the logs of several nodes,
/// most of them without the request's id: a store that became unreachable seconds before, an engine
/// that loaded new weights, a backend server that was removed.
namespace vanilladyke {

/// @brief One line of a node's log.
struct LogLine
{
    WallTime time;
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< the original line
};

/// @brief Parses a line of key=value pairs; text before the `time=` field is skipped.
/// @return none if it is not a line of a node's log
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view line);

/// @brief A request's log lines, related lines, and an explanation of its outcome.
struct RequestTimeline
{
    std::vector<LogLine> own;     ///< lines with the request's id, oldest first
    std::vector<LogLine> context; ///< related lines of the same nodes and servers, oldest first
    std::string verdict;
};

/// @brief Selects the lines of request @p id and the related ones.
/// @return a timeline without lines if no line has the request's id
[[nodiscard]] RequestTimeline buildTimeline(const std::vector<LogLine> &lines,
                                            const std::string &id);

} // namespace vanilladyke
