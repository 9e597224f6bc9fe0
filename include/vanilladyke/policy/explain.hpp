#pragma once

#include "vanilladyke/policy/placement.hpp"

#include <string>
#include <vector>

/// Placements in words: the same fields for the log line and for `vanilladyke explain`.
namespace vanilladyke {

/// @brief One key and value of a log line.
struct ExplainField
{
    std::string key;
    std::string value;
};

/// @brief The winner, what it promises, the runner-up and why the winner won.
[[nodiscard]] std::vector<ExplainField>
explainFields(std::uint32_t promptTokens, const Fleet &fleet, const Placement &placement);

/// @brief All candidates as a table, cheapest first, and a sentence on the winner.
[[nodiscard]] std::string explainText(std::uint32_t promptTokens, const Fleet &fleet,
                                      const Placement &placement);

} // namespace vanilladyke
