#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration bundle: everything that operators declare, as one versioned value.
namespace vanilladyke {

/// @brief Order of service when full; a lower value is served first, and no class starves.
enum class Priority { Urgent, Normal, Bulk };

/// @brief A customer: who may call, and its share when the fleet is full.
struct Customer
{
    CustomerId id;
    std::vector<std::string> keyDigests; ///< BLAKE2b-256 of each bearer key, hexadecimal
    double weight = 1.0;                 ///< share against other customers when full
    Priority priority = Priority::Normal;
    double tokensPerSecond = 0; ///< limit over all nodes, prompt and answer; 0 is none
    double burstTokens = 0;     ///< tokens that may be taken at once
};

/// @brief A model that callers may name.
struct Model
{
    ModelId id;
    WeightsVersion weights; ///< the version that answers must come from
    std::vector<AdapterId> adapters;
};

/// @brief What an engine is for.
enum class EngineRole { Serving, Draining };

/// @brief A model engine and what it is wanted to hold.
struct EngineEntry
{
    EngineId id;
    Endpoint endpoint;
    DataCentreId dataCentre;
    std::vector<ModelId> models;
    EngineRole role = EngineRole::Serving;
    bool fencing = true;     ///< refuses orders with an older fencing number
    std::uint32_t slots = 8; ///< requests that it runs at once
};

/// @brief A plain service beside the engines.
struct Service
{
    ServiceId id;
    std::vector<Endpoint> backends;
    bool repeatable = false;   ///< calls may be sent again without harm
    bool deduplicates = false; ///< runs a key at most once by itself
};

/// @brief What a placement is to weigh: saved work, or the tail of the times to the first token.
struct Objective
{
    double recomputeWeight = 1.0; ///< cost of a second of prefill that a cache could have saved
    double tailWeight = 1.0;      ///< cost of a second of expected wait
};

/// @brief Times and sizes that hold for every request.
struct Limits
{
    Duration firstTokenDeadline = std::chrono::seconds(10); ///< when the caller names none
    Duration serviceDeadline = std::chrono::seconds(10);    ///< whole answer of a plain service
    Duration streamSilence = std::chrono::seconds(2); ///< silence that counts as a dead connection
    Duration claimWindow =
            std::chrono::minutes(10);    ///< age after which an idempotency key is refused
    std::uint32_t loadsAtOnce = 2;       ///< engines that may load weights at the same time
    std::uint64_t bodyBytes = 4U << 20U; ///< largest request body
    double retryFraction = 0.1;          ///< retries for each first try
    double ejectedFraction = 0.3;        ///< most of a model's engines that may be ejected at once
};

/// @brief One accepted or proposed configuration.
struct Bundle
{
    std::uint64_t version = 0;
    std::string parentDigest; ///< digest of the bundle that this one follows; empty for the first
    Objective objective;
    Limits limits;
    std::vector<Customer> customers;
    std::vector<Model> models;
    std::vector<EngineEntry> engines;
    std::vector<Service> services;
    std::optional<Endpoint> keptCache; ///< the store that engines export KV cache to
};

} // namespace vanilladyke
