#pragma once

#include <string>
#include <vector>

namespace vanilladyke {

/// @brief `explain --id ID LOG...`: tells what became of a request from the logs of nodes.
/// `explain --state FILE --request FILE --customer ID`: makes a placement again from a node's state
/// dump and prints its candidates, their predicted costs, the winner and why. @return the exit code
[[nodiscard]] int runExplain(const std::vector<std::string> &arguments);

} // namespace vanilladyke
