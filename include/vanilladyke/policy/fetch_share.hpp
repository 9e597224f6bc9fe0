#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <unordered_map>

/// Limits the fetches from a kept-cache store to the capacity of its link.
///
/// Load pattern: an engine's cache holds half of the parts for which the engine is preferred, so
/// that every second long prompt would be fetched from the store. A fetch occupies the link for
/// twenty milliseconds. Above fifty fetches a second they queue for seconds, while a prefill would
/// take a tenth of a second. A limit on the estimated queue fails: until they receive each other's
/// updates, half a second later, all nodes pile up. Admitting a random share of the demand does not
/// have this delay.
namespace vanilladyke {

/// @brief The view that one node has of all stores. Pure. Stores are identified by hashes.
class FetchShare
{
public:
    /// Fraction of the link's capacity that is used; the rest absorbs bursts.
    static constexpr double LinkFraction = 0.6;
    static constexpr Duration DemandWindow = std::chrono::milliseconds(1000);

    /// @brief Records that a node would fetch this many tokens, whether or not it is admitted.
    void recordDemand(std::uint64_t store, double tokens, TimePoint now);
    /// @brief Whether this request may fetch.
    /// @param draw random number in [0, 1), a new one for each request
    [[nodiscard]] bool allows(std::uint64_t store, double linkTokensPerMs, double draw,
                              TimePoint now) const;
    /// @brief Recent demand of all nodes, in tokens per millisecond.
    [[nodiscard]] double demand(std::uint64_t store, TimePoint now) const;

private:
    struct Demand
    {
        double tokensPerMs = 0;
        TimePoint at;
    };

    std::unordered_map<std::uint64_t, Demand> m_stores;
};

} // namespace vanilladyke
