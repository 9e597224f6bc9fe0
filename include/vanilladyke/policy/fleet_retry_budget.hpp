#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <algorithm>
#include <deque>
#include <unordered_map>

/// Limits the retries of all nodes together at a second backend server.
///
/// Load pattern: half of a service's servers begin to refuse, and every node retries every request.
/// A node only sees its own requests and therefore limits its own retries: the sum over all nodes
/// of ratio × own requests is ratio × all requests, and the fixed extra is divided by the number of
/// nodes that may exist. Requests and retries are counted in slices of a sliding window. A slice
/// that has begun to leave the window no longer earns retries, while one that is partly in it still
/// counts as spent; this keeps a window at any offset within the limit.
namespace vanilladyke {

/// @brief Limits set by the platform.
struct FleetRetryLimits
{
    double ratio = 0.2; ///< retries per request within the window
    double extra = 0;   ///< for all nodes together
    Duration window = std::chrono::seconds(10);
};

/// @brief What a node's budget for one service holds, for logs.
struct RetryAccount
{
    int spent = 0;         ///< retries within the window
    double left = 0;       ///< retries that may be spent now
    std::size_t nodes = 1; ///< nodes among which the extra is divided
};

/// @brief Retry budget of one node for all services. Pure.
class FleetRetryBudget
{
public:
    static constexpr int Slices = 20;
    /// Fraction of the limit that is used: requests counted here may fall into a window that is
    /// checked later.
    static constexpr double Margin = 0.8;

    void setLimits(const FleetRetryLimits &limits) { m_limits = limits; }
    /// @brief Sets the number of nodes among which the extra is divided.
    void setNodes(std::size_t nodes) { m_nodes = std::max<std::size_t>(nodes, 1); }
    void countRequest(const ServiceId &service, TimePoint now);
    /// @brief Takes one retry from the budget if the window allows it.
    [[nodiscard]] bool spend(const ServiceId &service, TimePoint now);
    [[nodiscard]] RetryAccount account(const ServiceId &service, TimePoint now);

private:
    struct Slice
    {
        std::int64_t number = 0;
        int requests = 0;
        int spent = 0;
    };

    Slice &current(std::deque<Slice> &slices, TimePoint now) const;

    FleetRetryLimits m_limits;
    std::size_t m_nodes = 1;
    std::unordered_map<ServiceId, std::deque<Slice>> m_services;
};

} // namespace vanilladyke
