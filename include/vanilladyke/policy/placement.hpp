#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Placement: which engine gets a request.
namespace vanilladyke {

/// @brief What has to be placed.
struct PlacementRequest
{
    CustomerId customer;
    ModelId model;
    PrefixChain chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< predicted
    TimePoint firstTokenDeadline;
    std::vector<EngineId> excluded; ///< engines that already failed this request
};

/// @brief One engine that was weighed.
struct Candidate
{
    std::size_t engine = 0; ///< index into Fleet::engines
    std::uint32_t expectedCachedTokens = 0;
    Duration wait{}; ///< until its prefill may start
    Duration prefill{};
    double cost = 0; ///< weighed seconds; the least wins
};

/// @brief The decision with its reasons, so that it can be logged and explained.
struct Placement
{
    std::optional<Candidate> winner; ///< none if no engine serves the model
    std::vector<Candidate> candidates;
    std::string reason; ///< one word, such as least_cost
};

/// @brief Chooses the engine of least predicted cost.
[[nodiscard]] Placement place(const PlacementRequest &request, const Fleet &fleet, TimePoint now,
                              Random &random);

} // namespace vanilladyke
