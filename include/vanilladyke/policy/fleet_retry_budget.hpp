#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <algorithm>
#include <deque>
#include <unordered_map>

/// Limits the retries of all nodes together at a second backend server.
///
/// Load pattern: half of a service's servers begin to refuse, and every node retries every request,
/// while nodes start again and callers move to others. A node only sees its own requests, and a
/// process forgets what it has counted when it ends. Each request therefore earns a fraction of a
/// retry at the node that it came to, for one window. Whatever becomes of nodes and callers, the
/// retries of a window are then earned in that window and the one before it, so that half of the
/// ratio for each request keeps them within the ratio of the larger one. If a node counted its
/// retries against its own requests alone, nodes that callers leave would spend what one window has
/// earned beside those that callers come to, which spend what the next one earns. The fixed extra
/// is divided by the number of nodes that may exist. A process that starts leaves its node's part
/// alone for one window: the process before it may have spent that and told nobody.
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
    double earned = 0;     ///< retries that recent requests have earned and that were not spent
    double extra = 0;      ///< rest of the node's part of the extra; 0 in a process's first window
    std::size_t nodes = 1; ///< nodes among which the extra is divided

    [[nodiscard]] double left() const { return earned + extra; }
};

/// @brief Retry budget of one node for all services. Pure.
class FleetRetryBudget
{
public:
    static constexpr int Slices = 20;
    /// Fraction of the ratio that a request earns: the requests of two windows earn the retries of
    /// one.
    static constexpr double EarnedFraction = 0.5;
    /// Fraction of the extra that is used. The rest covers retries that arrive in a later window
    /// than the one in which they were spent.
    static constexpr double ExtraFraction = 0.8;

    /// @param startedAt when this process started
    explicit FleetRetryBudget(TimePoint startedAt)
        : m_startedAt(startedAt)
    {}

    void setLimits(const FleetRetryLimits &limits) { m_limits = limits; }
    /// @brief Sets the number of nodes among which the extra is divided. A smaller number counts
    /// once a window has passed: the parts of nodes that have gone may have been spent.
    void setNodes(std::size_t nodes, TimePoint now);
    void countRequest(const ServiceId &service, TimePoint now);
    /// @brief Takes one retry from the budget if there is one.
    [[nodiscard]] bool spend(const ServiceId &service, TimePoint now);
    [[nodiscard]] RetryAccount account(const ServiceId &service, TimePoint now);

private:
    struct Slice
    {
        std::int64_t number = 0;
        double earned = 0; ///< not spent yet
        double extra = 0;  ///< spent of the node's part of the extra
        int spent = 0;
    };

    [[nodiscard]] std::size_t nodesAt(TimePoint now) const;
    Slice &current(std::deque<Slice> &slices, TimePoint now) const;

    TimePoint m_startedAt;
    FleetRetryLimits m_limits;
    std::size_t m_nodes = 1;
    std::size_t m_formerNodes = 1; ///< largest number before; counts until then
    TimePoint m_formerUntil;
    std::unordered_map<ServiceId, std::deque<Slice>> m_services;
};

} // namespace vanilladyke
