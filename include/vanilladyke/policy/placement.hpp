#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
#include "vanilladyke/policy/cache_view.hpp"
#include "vanilladyke/policy/in_flight.hpp"
#include "vanilladyke/policy/slot_forecast.hpp"
#include "vanilladyke/policy/survival.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Placement: selects the engine for a request.
///
/// Load pattern: long shared prompts with a skewed, shifting popularity, and engines that differ in
/// load. Pure least-loaded routing makes every engine prefill every prefix; pure prefix affinity
/// builds a queue at the engine of a hot prefix. Placement therefore predicts a cost, in weighted
/// seconds, for each of a few candidates:
///
///     tail weight × wait + prefill of the tokens expected missing (or their import)
///         + recompute weight × prefill of the tokens that another candidate has cached
///
/// Candidates are the holders of the longest cached prefixes, the first engines of the rendezvous
/// order and a few random engines, so their number does not grow with the fleet.
///
/// If the cheapest candidate is unlikely to have a free slot before the request's deadline, the
/// request goes to one with a timely slot, whatever the prefill costs there, provided that no
/// prefill is queued there or the prefix is cached.
namespace vanilladyke {

/// @brief A request to be placed.
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

/// @brief The prefix of a request that an engine could import from the kept-cache store.
struct KeptPrefix
{
    std::uint32_t tokens = 0; ///< longest prefix of the request that is in the store
    Duration latency{};       ///< until the first bytes of an import arrive
    double tokensPerSecond = 0;
};

/// @brief Inputs of a placement decision besides the fleet.
struct PlacementInputs
{
    std::span<const PrefixHolder> holders; ///< longest prefix first
    const Survival &survival;
    const InFlight &inFlight;
    const SlotForecast &slots;
    std::uint32_t preferredCount = 1; ///< number of engines that should cache the shared prefix
    KeptPrefix kept;
};

/// @brief An assumed cached prefix and the evidence for it.
struct PrefixEstimate
{
    Evidence evidence = Evidence::None;
    Duration age{};           ///< of the evidence
    std::uint32_t tokens = 0; ///< length of the prefix
};

/// @brief One engine that was considered, with its predicted cost.
struct Candidate
{
    std::size_t engine = 0; ///< index into Fleet::engines
    /// Longest first; each covers the tokens beyond the next one.
    std::vector<PrefixEstimate> estimates;
    std::uint32_t expectedCachedTokens = 0;
    std::uint32_t importedTokens = 0; ///< to import from the kept-cache store; 0 for none
    Duration wait{};                  ///< until the prefill can start
    Duration slotWait{};              ///< until a slot is free; at most wait
    bool isLate = false;              ///< a slot is unlikely to be free before the deadline
    Duration prefill{};               ///< of the missing tokens, including any import
    double recomputedTokens = 0;      ///< tokens to prefill that another candidate has cached
    double cost = 0;                  ///< weighted seconds; the lowest is selected
};

/// @brief A placement decision with its reasons, for logs and `vanilladyke explain`.
struct Placement
{
    std::optional<Candidate> winner; ///< none if no engine serves the model
    std::vector<Candidate> candidates;
    std::string reason; ///< no_engine, least_cost, near_tie, stays or in_time
};

/// @brief Selects the engine with the lowest predicted cost.
[[nodiscard]] Placement place(const PlacementRequest &request, const Fleet &fleet,
                              const PlacementInputs &inputs, TimePoint now, Random &random);

/// @brief Predicted queueing of a new request at an engine; the two waits overlap.
struct PredictedWait
{
    Duration prefill{}; ///< until the prefill backlog ahead of it is done
    Duration slot{};    ///< until a slot is free

    [[nodiscard]] Duration longest() const { return prefill < slot ? slot : prefill; }
};

/// @brief Predicts the time until the engine can start a new prefill.
/// @param nodes number of nodes that share the engines, including this one
[[nodiscard]] PredictedWait predictedWait(const EngineView &engine, const InFlight &inFlight,
                                          const SlotForecast &slots, std::uint32_t nodes,
                                          std::uint32_t answerTokens, TimePoint now);

/// @brief The weight of a second of prefill that another candidate would save.
///
/// Grows with the wait at the least loaded candidate: once every candidate has a queue, recomputing
/// a prefix delays all queued requests. With a fixed weight, a saturated fleet would spread every
/// prefix over all engines to balance their queues, prefill each prefix on every engine, and lose
/// throughput as the load grows.
[[nodiscard]] double effectiveRecomputeWeight(const Objective &objective, Duration leastWait);

} // namespace vanilladyke
