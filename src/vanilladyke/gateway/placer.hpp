#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"

#include <optional>
#include <vector>

namespace vanilladyke {

/// @brief Chooses an engine for the next attempt of a request and logs the decision.
/// @param excluded engines that already failed this request
/// @return none if no engine may take it now
[[nodiscard]] std::optional<EngineView> placeAttempt(const RequestContext &context,
                                                     const Fleet &fleet,
                                                     const std::vector<EngineId> &excluded,
                                                     Random &random);

} // namespace vanilladyke
