#pragma once

#include "vanilladyke/policy/hot_prefixes.hpp"
#include "vanilladyke/policy/placement.hpp"

/// All that one node learns from its own requests, and the placement that uses it.
namespace vanilladyke {

/// @brief A request that was sent to the engine that a placement chose.
struct PlacedRequest
{
    InFlightTicket ticket;
    Candidate chosen;
    EngineKey engine{};
    Incarnation incarnation{};
    double decodeTokensPerSecond = 0; ///< of the engine, for one stream
    std::optional<TimePoint> firstTokenAt;
};

/// @brief Decides on placements and learns from what becomes of them. Not thread-safe.
class PlacementPolicy
{
public:
    /// @brief Chooses an engine. @param holders what the cache view says of the request's chain
    [[nodiscard]] Placement decide(const PlacementRequest &request, const Fleet &fleet,
                                   std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                   TimePoint now, Random &random);
    /// @brief What decide() would choose; the request is not counted.
    [[nodiscard]] Placement forecast(const PlacementRequest &request, const Fleet &fleet,
                                     std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                     TimePoint now, Random &random) const;
    /// @brief The request is about to be sent to the placement's winner.
    [[nodiscard]] PlacedRequest sent(const PlacementRequest &request, const Fleet &fleet,
                                     const Placement &placement, TimePoint now);
    void firstToken(PlacedRequest &placed, TimePoint now);
    /// @brief The exchange has ended, in whatever way.
    void finished(const PlacedRequest &placed, TimePoint now);
    /// @brief The engine said how many prompt tokens it found in its cache.
    void learn(const PlacedRequest &placed, std::uint32_t cachedTokens);

    [[nodiscard]] const InFlight &inFlight() const { return m_inFlight; }
    [[nodiscard]] const Survival &survival() const { return m_survival; }

private:
    InFlight m_inFlight;
    SlotForecast m_slots;
    Survival m_survival;
    HotPrefixes m_hot;
};

} // namespace vanilladyke
