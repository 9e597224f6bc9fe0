#pragma once

#include <string>
#include <vector>

namespace vanilladyke {

/// @brief `explain --id ID LOG...`: reconstructs the timeline of a request from node logs.
/// `explain --state FILE --request FILE --customer ID`: repeats a placement from a node's state
/// dump and prints the candidates, their predicted costs, the winner and the reason.
/// @return the exit code
[[nodiscard]] int runExplain(const std::vector<std::string> &arguments);

} // namespace vanilladyke
