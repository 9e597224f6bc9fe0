#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Tracks this node's requests in flight at the engines, to correct load reports that lag.
///
/// Load pattern: a report is several hundred milliseconds old, and a burst arrives within that
/// time. Without the correction every request of the burst goes to the engine that was idle when it
/// reported.
namespace vanilladyke {

/// @brief Identifies one request in flight.
struct InFlightTicket
{
    EngineKey engine{};
    std::uint64_t number = 0;
};

/// @brief Work that a report measured at a given time cannot include.
struct UnreportedWork
{
    std::uint64_t prefillTokens = 0; ///< not yet computed
    std::uint32_t requests = 0;
};

/// @brief Unfinished requests of this node, by engine.
class InFlight
{
public:
    /// @param prefillTokens number of prompt tokens that the engine is expected to compute
    [[nodiscard]] InFlightTicket start(EngineKey engine, std::uint64_t prefillTokens,
                                       TimePoint now);
    /// @brief Records the first token: the prefill is complete.
    void firstToken(const InFlightTicket &ticket);
    void finish(const InFlightTicket &ticket);
    /// @brief Work started after the engine measured its load.
    [[nodiscard]] UnreportedWork since(EngineKey engine, TimePoint measuredAt) const;
    /// @brief Number of unfinished requests of this node at the engine.
    [[nodiscard]] std::uint32_t count(EngineKey engine) const;

private:
    struct Work
    {
        std::uint64_t number = 0;
        std::uint64_t prefillTokens = 0;
        TimePoint startedAt;
    };

    std::uint64_t m_next = 0;
    std::unordered_map<EngineKey, std::vector<Work>> m_work; ///< each vector ordered by start time
};

} // namespace vanilladyke
