#pragma once

#include "vanilladyke/experiment/engine_model.hpp"
#include "vanilladyke/experiment/sim_request.hpp"
#include "vanilladyke/model/bundle.hpp"

#include <string>
#include <vector>

/// Synthetic traffic: prompts with three shared levels, skewed, with hot prefixes that shift.
namespace vanilladyke {

/// @brief One level of shared prefixes.
struct LevelSpec
{
    std::uint32_t perParent = 1; ///< prefixes below each one of the level above
    std::uint32_t leastTokens = 0;
    std::uint32_t mostTokens = 0;
    double skew = 1; ///< exponent of the Zipf law by which they are asked for
};

/// @brief A deployment: its engines and what its callers send.
struct Deployment
{
    std::string name;
    std::size_t engines = 0;
    std::size_t nodes = 9;
    EngineSpec engine;
    Objective objective;
    std::vector<double> customerWeights; ///< share of the traffic
    std::vector<LevelSpec> levels;
    Duration shiftEvery{};    ///< the hot prefixes move on this often
    double shortFraction = 0; ///< checks with a small question and a short answer
    std::uint32_t questionTokens = 300;
    std::uint32_t answerTokens = 200;
    std::uint32_t shortQuestionTokens = 80;
    std::uint32_t shortAnswerTokens = 20;
    Duration firstTokenDeadline{};
    Duration reportEvery = std::chrono::milliseconds(100);
    Duration reportLag = std::chrono::milliseconds(200);
    Duration cacheEventLag = std::chrono::milliseconds(500);
    double cacheEventLoss = 0.01;
};

/// @brief Eighteen engines that write copy from brand guides.
[[nodiscard]] Deployment shadeline();
/// @brief Nine engines that write advisories from bulletins, with many short checks.
[[nodiscard]] Deployment ashline();

/// @brief Requests in order of arrival, as a Poisson process.
/// @param requestsPerSecond over all nodes
[[nodiscard]] std::vector<SimRequest> makeTrace(const Deployment &deployment,
                                                double requestsPerSecond, Duration length,
                                                std::uint64_t seed);

} // namespace vanilladyke
