#pragma once

#include "vanilladyke/policy/placement.hpp"

#include <string>
#include <vector>

/// Descriptions of placements, with the same fields for the log and for `vanilladyke explain`.
namespace vanilladyke {

/// @brief A key and a value of a log line.
struct ExplainField
{
    std::string key;
    std::string value;
};

/// @brief Returns the winner with its predictions, the reason, and the next cheapest candidate.
[[nodiscard]] std::vector<ExplainField>
explainFields(std::uint32_t promptTokens, const Fleet &fleet, const Placement &placement);

/// @brief Returns a table of all candidates, cheapest first, and a sentence on the winner.
[[nodiscard]] std::string explainText(std::uint32_t promptTokens, const Fleet &fleet,
                                      const Placement &placement);

} // namespace vanilladyke
