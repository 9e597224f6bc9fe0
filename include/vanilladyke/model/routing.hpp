#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The configuration by which requests are routed by host and path, as an operator put it in force.
namespace vanilladyke {

/// @brief What may be repeated of a request.
enum class RequestKind {
    Safe,   ///< may run any number of times
    Unsafe, ///< may run once at most
    Stream, ///< answered by a series of events; once at most unless the route is resumable
};

/// @brief A service and its part of a route's requests.
struct ServiceShare
{
    ServiceId service;
    double weight = 1;
};

/// @brief Requests of one host below one path.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Unsafe;
    Duration timeout{};       ///< the longest that a caller is kept waiting
    Duration targetLatency{}; ///< within which an answer is worth most
    Duration longestPause{};  ///< between events of a stream that is still on time; 0: not given
    int priority = 0;         ///< 0 goes first
    std::vector<ServiceShare> split;
    int mostBackends = 1; ///< that one request may run on
    bool isPublic = false;
    bool isSticky = false; ///< requests name the parts of their prompts
    bool isResumable = false;
};

/// @brief A service of backend servers, or a store of kept KV cache.
struct ServiceSpec
{
    ServiceId id;
    int mostConnections = 0;           ///< that one backend server accepts from all nodes together
    double transferTokensPerMs = 0;    ///< KV cache that an engine or store hands out; 0: not known
    std::uint64_t cacheTokens = 0;     ///< memory of an engine; 0 for plain services
    std::optional<Endpoint> keptCache; ///< set if this is the kept-cache store
    std::optional<DataCentreId> dataCentre; ///< of the kept-cache store
};

/// @brief What a customer's quota counts.
enum class QuotaUnit {
    Requests,
    Tokens, ///< of the prompt, and the most that may be generated
};

/// @brief What a customer may ask for over all nodes together.
struct CustomerQuota
{
    QuotaUnit unit = QuotaUnit::Requests;
    double perSecond = 0;
    double burst = 0;
    double plainTokens = 0; ///< of a request that names no number of tokens

    bool operator==(const CustomerQuota &) const = default;
};

/// @brief A customer, its keys and its rights.
struct RoutedCustomer
{
    CustomerId id;
    std::vector<std::string> keys;
    std::optional<int> priority;             ///< goes before the route's
    bool isIsolated = false;                 ///< shares no KV cache with other customers
    std::optional<CustomerQuota> quota = {}; ///< none: no limit
};

/// @brief What a caller may send, and how long it may take.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// @brief One version of the configuration, whole.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<RoutedCustomer> customers; ///< empty: no request needs a key
    CallerLimits limits;
};

/// @brief Place of a record among all that the platform's store accepted in a topic; later records
/// are greater.
struct StorePosition
{
    std::uint64_t era = 0; ///< of the store
    std::uint64_t offset = 0;

    auto operator<=>(const StorePosition &) const = default;
};

/// @brief A backend server as it registered itself.
struct BackendEntry
{
    EngineId id;
    StorePosition position;  ///< of the record that holds this entry
    std::uint64_t start = 0; ///< of the server, grows with each under one id; 0: not known
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    int slots = 1;
    std::string software; ///< version of the server's software; empty: not known
    bool isDraining = false;
    std::uint64_t heartbeat = 0; ///< grows with each entry that the server writes in one start
    std::map<ModelId, std::uint64_t> weights; ///< version of each model's weights
};

} // namespace vanilladyke
