#pragma once

#include <cstdint>
#include <random>

/// Seeded randomness. Decision code takes a Random as an argument, so that a seed repeats a run.
namespace vanilladyke {

/// @brief The generator that all decision code takes by reference.
using Random = std::mt19937_64;

/// @brief A seed from the operating system, for processes that need no repeatable run.
[[nodiscard]] std::uint64_t entropySeed();

/// @brief A number in [0, 1).
[[nodiscard]] double uniform(Random &random);

/// @brief A number in [0, bound). @param bound above zero
[[nodiscard]] std::uint64_t uniformBelow(Random &random, std::uint64_t bound);

} // namespace vanilladyke
