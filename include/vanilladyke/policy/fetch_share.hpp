#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <unordered_map>

/// How much of what nodes would fetch from a kept-cache store its one link can hand out.
///
/// Load pattern: an engine's memory holds half of the guides that have their home there, so that
/// every second long prompt would be fetched from the store, and a fetch takes its link twenty
/// milliseconds. Beyond fifty a second they queue for seconds, while reading the guide would take a
/// tenth of one. A limit on the queue that nodes believe there to be lets all of them pile up in
/// the half second until they hear of each other; a share of what is wanted does not.
namespace vanilladyke {

/// @brief One node's view of all stores. Pure. Stores are named by hashes.
class FetchShare
{
public:
    /// Of the link that is handed out; what remains absorbs bursts.
    static constexpr double LinkPart = 0.6;
    static constexpr Duration Memory = std::chrono::milliseconds(1000);

    /// @brief Some node would fetch so much, whether it does or not.
    void wanted(std::uint64_t store, double tokens, TimePoint now);
    /// @brief Whether this request is among those that fetch.
    /// @param draw in [0, 1), another one for each request
    [[nodiscard]] bool allows(std::uint64_t store, double linkTokensPerMs, double draw,
                              TimePoint now) const;
    /// @brief Tokens a millisecond that nodes would fetch lately.
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
