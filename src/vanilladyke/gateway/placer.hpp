#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/policy/placement.hpp"

#include <optional>
#include <vector>

namespace vanilladyke {

/// @brief Where an attempt goes, and when its first token is expected.
struct PlacedAttempt
{
    EngineView engine;
    Duration firstToken{}; ///< predicted, from the start of the attempt
};

/// @brief Chooses an engine for the next attempt of a request and logs the decision.
/// @param excluded engines that must not get it: they failed it, are ejected or full
/// @return none if no engine may take it now
[[nodiscard]] std::optional<PlacedAttempt> placeAttempt(const RequestContext &context,
                                                        const Fleet &fleet,
                                                        const std::vector<EngineId> &excluded,
                                                        Random &random);

/// @brief The engine that would be chosen now, with its predicted times; nothing is logged.
[[nodiscard]] std::optional<Candidate> forecastPlacement(const RequestContext &context,
                                                         const Fleet &fleet,
                                                         const std::vector<EngineId> &excluded,
                                                         Random &random);

} // namespace vanilladyke
