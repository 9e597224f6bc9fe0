#pragma once

#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/order_lease.hpp"
#include "vanilladyke/policy/software_history.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Interfaces between the control side of a node and the platform. An adapter implements them with
/// the platform's protocol; tests use in-memory fakes. All calls are made on the control thread.
namespace vanilladyke {

/// @brief A part that was added to or removed from a kept-cache store.
struct KeptPart
{
    std::string salt;
    std::string part;
    std::uint64_t tokens = 0; ///< 0: removed, or only its beginning is left
};

/// @brief Receives the changes read from the platform's store.
class StateListener
{
public:
    virtual ~StateListener() = default;
    virtual void configurationRead(RoutingConfig config) = 0;
    /// @brief The operator announced weights.
    /// @param age upper bound of the record's age; none: written at an unknown time before this
    /// node's first read
    virtual void weightsAnnounced(const ModelId &model, std::uint64_t version,
                                  std::optional<Duration> age) = 0;
    /// @return whether nodes that are told of changes only need the entry
    virtual bool backendRead(BackendEntry entry) = 0;
    /// @param position of the record that says so
    virtual void backendRemoved(const EngineId &id, StorePosition position) = 0;
    /// @brief The whole list was read; servers that are not in it are removed.
    /// @param mayLackEntries the store came back from an older copy, and servers write again
    /// @note Servers that came and left since the whole list was read before are not reported.
    virtual void backendsListed(const std::map<EngineId, bool> &present, bool mayLackEntries) = 0;
    /// @brief Freshness proof: all entries that servers wrote before @p sentAt were applied.
    virtual void backendsProved(TimePoint sentAt) = 0;
    /// @brief A read of the entries that began at @p sentAt failed.
    virtual void backendsReadFailed(TimePoint sentAt) = 0;
    /// @brief Freshness proof: all records that the operator wrote before @p sentAt were applied.
    virtual void configurationProved(TimePoint sentAt) = 0;
    /// @brief A call to the store failed.
    virtual void storeFailed() = 0;
    /// @param peers where the registered nodes, including this one, receive each other's datagrams
    virtual void nodesListed(std::vector<Endpoint> peers) = 0;
    /// @brief The records of the services' software versions were read, after the first whole list
    /// of servers.
    virtual void softwareRecorded(SoftwareRecords records) = 0;
    /// @brief The recorded parts of a kept-cache store are no longer valid.
    virtual void keptCacheReset(const Endpoint &store, KeptCacheState state) = 0;
    virtual void keptCacheChanged(const Endpoint &store, std::vector<KeptPart> parts) = 0;
};

/// @brief Follows the contents of the kept-cache stores.
class KeptCacheFollower
{
public:
    virtual ~KeptCacheFollower() = default;
    /// @brief Replaces the followed stores.
    virtual void follow(const std::vector<Endpoint> &stores, StateListener &listener) = 0;
};

/// @brief Result of an append to the lease log.
enum class LeaseAppendResult {
    Accepted,
    Refused, ///< the log ends elsewhere
    Unknown, ///< no answer: the append may still take effect later
};

/// @brief The end of the lease log.
struct LeaseLogState
{
    std::uint64_t end = 0;
    std::optional<LeaseRecord> last;
    std::uint64_t era = 0; ///< of the store
};

/// @brief Answer to an append to the lease log.
struct LeaseAppendAnswer
{
    LeaseAppendResult result = LeaseAppendResult::Unknown;
    std::uint64_t end = 0;
    std::uint64_t era = 0; ///< of the store
};

/// @brief The log that stores the order lease.
class LeaseLog
{
public:
    virtual ~LeaseLog() = default;
    /// @brief The newest era of the store that this node knows.
    [[nodiscard]] virtual StoreEraView era() const { return {}; }
    virtual void append(const LeaseAppend &append,
                        std::function<void(const LeaseAppendAnswer &)> done) = 0;
    /// @brief Reads the log's end; none on failure.
    /// @param known offset; waits a while for the log to grow beyond it
    virtual void read(std::optional<std::uint64_t> known,
                      std::function<void(std::optional<LeaseLogState>)> done) = 0;
};

/// @brief The state that an engine reports.
struct EngineReport
{
    std::uint64_t ordersAccepted = 0;
    bool isBusy = false; ///< an order is in progress
    int running = 0;     ///< running requests; an order waits for them to end
    std::map<ModelId, std::uint64_t> weights;
};

/// @brief An order to load new weights.
struct WeightsOrder
{
    ModelId model;
    std::uint64_t version = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t ordersAccepted = 0; ///< refused if the engine's count differs
};

/// @brief Result of an order.
enum class OrderResult {
    Accepted,
    AlreadyLoaded, ///< the engine already has the weights
    Refused,       ///< another order is in progress, or was accepted first
    OtherEngine,   ///< another engine answered at the address
    Unknown,       ///< no answer: the order may still take effect later
};

/// @brief Sends orders and report requests to engines.
class EngineOrders
{
public:
    virtual ~EngineOrders() = default;
    /// @brief Requests a report; none if the engine doesn't answer.
    virtual void report(const BackendEntry &engine,
                        std::function<void(std::optional<EngineReport>)> done) = 0;
    virtual void order(const BackendEntry &engine, const WeightsOrder &order,
                       std::function<void(OrderResult)> done) = 0;
};

} // namespace vanilladyke
