#pragma once

#include "vanilladyke/experiment/trace.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Compares the ways of routing on the same trace.
namespace vanilladyke {

/// @brief What is compared, and how it is measured.
struct WayResult
{
    std::string way;
    double hitRate = 0;      ///< cached prompt tokens of all prompt tokens
    double ttftMedianMs = 0; ///< arrival at the node to first token
    double ttftP99Ms = 0;
    double recomputedTokens = 0; ///< computed though an engine had computed them before
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t late = 0; ///< admitted, first token after the deadline
    double goodput = 0;   ///< first tokens in time a second, as a part of capacity
    double fairness = 0;  ///< Jain's index of the part served in time, over customers
};

/// @brief The names of all ways, vanilladyke first.
[[nodiscard]] const std::vector<std::string> &wayNames();

/// @brief The most requests a second of which the oracle serves 99 in 100 in time, by bisection.
[[nodiscard]] double measureCapacity(const Deployment &deployment);

/// @brief One run. The first fifth of the trace warms caches up and is not counted.
/// @param way one of wayNames()
[[nodiscard]] WayResult measureWay(std::string_view way, const Deployment &deployment, double load,
                                   double capacity, Duration length, std::uint64_t seed);

} // namespace vanilladyke
