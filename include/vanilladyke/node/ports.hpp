#pragma once

#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/order_lease.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

/// What the control side of a node needs from the outside, in the product's own terms. An adapter
/// implements it with the protocol of the platform; tests with a few lines. Everything is called on
/// the control thread.
namespace vanilladyke {

/// @brief A part that the kept-cache store holds now, or no longer.
struct KeptPart
{
    std::string salt;
    std::string part;
    std::uint64_t tokens = 0; ///< 0: it is gone, or only its beginning is left
};

/// @brief What the platform's store tells a node.
class StateListener
{
public:
    virtual ~StateListener() = default;
    virtual void configurationRead(RoutingConfig config) = 0;
    /// @param age how long ago it was written, at most; none: at an unknown time before this node
    /// asked
    virtual void weightsNamed(const ModelId &model, std::uint64_t version,
                              std::optional<Duration> age) = 0;
    /// @return whether anything but the server's sign of life changed
    virtual bool backendRead(BackendEntry entry) = 0;
    virtual void backendGone(const EngineId &id) = 0;
    /// @brief The whole list was read; what is not in it is gone.
    virtual void backendsListed(const std::map<EngineId, bool> &present) = 0;
    /// @brief All that the operator wrote before @p sentAt is known now.
    virtual void configurationProved(TimePoint sentAt) = 0;
    virtual void storeFailed() = 0;
    /// @brief Where the registered nodes, this one too, hear from each other.
    virtual void nodesListed(std::vector<Endpoint> peers) = 0;
    /// @brief Nothing is known of the parts of a kept-cache store any more.
    virtual void keptCacheReset(const Endpoint &store, KeptCacheState state) = 0;
    virtual void keptCacheChanged(const Endpoint &store, std::vector<KeptPart> parts) = 0;
};

/// @brief Follows what the kept-cache stores hold.
class KeptCacheFollower
{
public:
    virtual ~KeptCacheFollower() = default;
    /// @brief Follows these stores from now on and no others.
    virtual void follow(const std::vector<Endpoint> &stores, StateListener &listener) = 0;
};

/// @brief How an append to the lease's log ended.
enum class AppendEnd {
    Taken,
    Refused, ///< the log ends elsewhere
    Unknown, ///< no answer: it may take effect, even later
};

/// @brief The end of the lease's log.
struct LeaseLogState
{
    std::uint64_t end = 0;
    std::optional<LeaseRecord> last;
};

/// @brief The log behind the lease of orders.
class LeaseLog
{
public:
    virtual ~LeaseLog() = default;
    virtual void append(const LeaseAppend &append,
                        std::function<void(AppendEnd, std::uint64_t end)> done) = 0;
    /// @brief Reads the log's end. @param known waits a while for the log to grow beyond it
    virtual void read(std::optional<std::uint64_t> known,
                      std::function<void(std::optional<LeaseLogState>)> done) = 0;
};

/// @brief An engine's own word on its state.
struct EngineReport
{
    std::uint64_t ordersAccepted = 0;
    bool isBusy = false; ///< an order is being carried out
    int running = 0;     ///< requests; an order waits for them to end
    std::map<ModelId, std::uint64_t> weights;
};

/// @brief An order to load new weights.
struct WeightsOrder
{
    ModelId model;
    std::uint64_t version = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t ordersAccepted = 0; ///< only carried out if the engine accepted just so many
};

/// @brief How an order ended.
enum class OrderEnd {
    Accepted,
    Holds,   ///< the engine has the weights already
    Refused, ///< another order is under way, or came in between
    Gone,    ///< another engine has the address
    Unknown, ///< no answer: it may be carried out, even later
};

/// @brief Orders and questions to engines.
class EngineOrders
{
public:
    virtual ~EngineOrders() = default;
    virtual void report(const BackendEntry &engine,
                        std::function<void(std::optional<EngineReport>)> done) = 0;
    virtual void order(const BackendEntry &engine, const WeightsOrder &order,
                       std::function<void(OrderEnd)> done) = 0;
};

} // namespace vanilladyke
