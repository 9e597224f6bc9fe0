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

/// Placement: which engine gets a request.
///
/// Load pattern: long shared prompts, skewed and shifting, over engines that differ in load. Sent
/// to the least loaded engine, each engine computes every prefix; sent by prefix alone, a hot one
/// queues. So each of a few candidates gets a predicted cost in weighted seconds:
///
///     tail weight × wait + prefill of the tokens expected missing (or their import)
///         + price of recomputing × prefill of the tokens that another candidate has
///
/// Candidates are the holders of the longest known prefixes, the first of the rendezvous order
/// and a few at random: their number doesn't grow with the fleet.
///
/// The cheapest may have no free slot, and most likely none before the request's deadline. Then the
/// request goes to one that has, whatever it costs to compute the prefix there, as long as nobody
/// waits for prefill there.
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

/// @brief What the kept-cache store could give an engine.
struct KeptPrefix
{
    std::uint32_t tokens = 0; ///< longest prefix of the request that is in the store
    Duration latency{};       ///< until an import starts to flow
    double tokensPerSecond = 0;
};

/// @brief What a node knows beside the fleet when it decides.
struct PlacementKnowledge
{
    std::span<const PrefixHolder> holders; ///< longest prefix first
    const Survival &survival;
    const InFlight &inFlight;
    const SlotForecast &slots;
    std::uint32_t homes = 1; ///< engines that the shared prefix should live on
    KeptPrefix kept;
};

/// @brief Why a prefix up to some length is believed to be cached.
struct Belief
{
    Evidence evidence = Evidence::None;
    Duration age{};           ///< of the evidence
    std::uint32_t tokens = 0; ///< length that it speaks for
};

/// @brief One engine that was weighed.
struct Candidate
{
    std::size_t engine = 0;      ///< index into Fleet::engines
    std::vector<Belief> beliefs; ///< longest first; each speaks for what the next one does not
    std::uint32_t expectedCachedTokens = 0;
    std::uint32_t importedTokens = 0; ///< to take from the kept-cache store; 0 for none
    Duration wait{};                  ///< until its prefill may start
    Duration slotWait{};              ///< of it, until a slot is free
    bool isLate = false;              ///< a slot most likely comes too late for the deadline
    Duration prefill{};               ///< of the missing tokens, the import included
    double recomputedTokens = 0;      ///< that another candidate has
    double cost = 0;                  ///< weighed seconds; the least wins
};

/// @brief The decision with its reasons, so that it can be logged and explained.
struct Placement
{
    std::optional<Candidate> winner; ///< none if no engine serves the model
    std::vector<Candidate> candidates;
    std::string reason; ///< no_engine, least_cost, near_tie, stays or in_time
};

/// @brief Chooses the engine of least predicted cost.
[[nodiscard]] Placement place(const PlacementRequest &request, const Fleet &fleet,
                              const PlacementKnowledge &knowledge, TimePoint now, Random &random);

/// @brief What a new request waits for at an engine; for both at the same time.
struct PredictedWait
{
    Duration prefill{}; ///< until the prompts ahead of it are computed
    Duration slot{};    ///< until a slot is free

    [[nodiscard]] Duration longest() const { return prefill < slot ? slot : prefill; }
};

/// @brief Time until the engine could start a new prefill.
/// @param nodes that share the engines, this one included
[[nodiscard]] PredictedWait predictedWait(const EngineView &engine, const InFlight &inFlight,
                                          const SlotForecast &slots, std::uint32_t nodes,
                                          std::uint32_t answerTokens, TimePoint now);

/// @brief The weight of a second of prefill that another candidate would save.
///
/// While even the least busy candidate has a queue, recomputing takes time from all that wait.
/// Without this a fleet at its limit spreads every prefix over all engines to even out their
/// queues, computes each anew everywhere, and so gets slower the more is asked of it.
[[nodiscard]] double priceOfRecomputing(const Objective &objective, Duration leastWait);

} // namespace vanilladyke
