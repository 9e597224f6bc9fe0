#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// This node's own work at the engines, to correct load reports that lag.
///
/// Load pattern: a report is some hundred milliseconds old, and a burst arrives inside that time.
/// Without the correction every request of the burst goes to the engine that was idle when it
/// reported.
namespace vanilladyke {

/// @brief Names one piece of work that is under way.
struct InFlightTicket
{
    EngineKey engine{};
    std::uint64_t number = 0;
};

/// @brief Work that a report of a given time can't have counted.
struct UnreportedWork
{
    std::uint64_t prefillTokens = 0; ///< still to be computed
    std::uint32_t requests = 0;
};

/// @brief Requests of this node that have not ended, by engine.
class InFlight
{
public:
    /// @param prefillTokens tokens that the engine is expected to compute for it
    [[nodiscard]] InFlightTicket start(EngineKey engine, std::uint64_t prefillTokens,
                                       TimePoint now);
    /// @brief The first token came: nothing is left to compute.
    void firstToken(const InFlightTicket &ticket);
    void finish(const InFlightTicket &ticket);
    /// @brief Work started after the engine measured its load.
    [[nodiscard]] UnreportedWork since(EngineKey engine, TimePoint measuredAt) const;
    /// @brief All requests at the engine.
    [[nodiscard]] std::uint32_t count(EngineKey engine) const;

private:
    struct Work
    {
        std::uint64_t number = 0;
        std::uint64_t prefillTokens = 0;
        TimePoint startedAt;
    };

    std::uint64_t m_next = 0;
    std::unordered_map<EngineKey, std::vector<Work>> m_work; ///< each by time of start
};

} // namespace vanilladyke
