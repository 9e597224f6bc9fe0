#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <deque>
#include <unordered_map>

/// Bounds how many requests all nodes together send to a second backend server.
///
/// Load pattern: half of a service's servers begin to refuse, and every node sends every request
/// again. Each node knows only its own part, so that it bounds its own part: the sum over nodes of
/// ratio × own requests is ratio × all requests, and the fixed extra is divided by the number of
/// nodes that there may be. Counted over a sliding window in slices; a slice that has begun to
/// leave the window no longer earns, and one that is only partly in it still counts as spent, so
/// that a window at any offset stays within the bound.
namespace vanilladyke {

/// @brief What the platform allows.
struct SecondSendTerms
{
    double ratio = 0.2; ///< of the requests of the window
    double extra = 0;   ///< over all nodes
    Duration window = std::chrono::seconds(10);
    std::size_t nodes = 1; ///< among which the extra is divided; at least one
};

/// @brief The budget of one node for all services. Pure.
class SecondSendBudget
{
public:
    static constexpr int Slices = 20;
    /// Part of the allowance that is used: requests counted here may be judged a window later.
    static constexpr double Margin = 0.8;

    void setTerms(const SecondSendTerms &terms) { m_terms = terms; }
    /// @brief More nodes are known among which the extra is divided.
    void setNodes(std::size_t nodes) { m_terms.nodes = nodes; }
    void countRequest(const ServiceId &service, TimePoint now);
    /// @brief Takes one second send if the window still allows it.
    [[nodiscard]] bool spend(const ServiceId &service, TimePoint now);

private:
    struct Slice
    {
        std::int64_t number = 0;
        int requests = 0;
        int spent = 0;
    };

    Slice &current(std::deque<Slice> &slices, TimePoint now) const;

    SecondSendTerms m_terms;
    std::unordered_map<ServiceId, std::deque<Slice>> m_services;
};

} // namespace vanilladyke
