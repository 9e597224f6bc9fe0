#pragma once

#include "vanilladyke/policy/hot_prefixes.hpp"
#include "vanilladyke/policy/placement.hpp"

/// Placement with the statistics that a node collects from its own requests.
namespace vanilladyke {

/// @brief A request that was sent to the engine selected by a placement.
struct PlacedRequest
{
    InFlightTicket ticket;
    Candidate chosen;
    EngineKey engine{};
    Incarnation incarnation{};
    double decodeTokensPerSecond = 0; ///< of the engine, per stream
    std::optional<TimePoint> firstTokenAt;
};

/// @brief Decides placements and updates its statistics from their results. Not thread-safe.
class PlacementPolicy
{
public:
    /// @brief Selects an engine and counts the request.
    /// @param holders the cache view's entries for the request's chain
    [[nodiscard]] Placement decide(const PlacementRequest &request, const Fleet &fleet,
                                   std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                   TimePoint now, Random &random);
    /// @brief Returns what decide() would, without counting the request.
    [[nodiscard]] Placement forecast(const PlacementRequest &request, const Fleet &fleet,
                                     std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                     TimePoint now, Random &random) const;
    /// @brief Records that the request is about to be sent to the placement's winner.
    [[nodiscard]] PlacedRequest sent(const PlacementRequest &request, const Fleet &fleet,
                                     const Placement &placement, TimePoint now);
    void firstToken(PlacedRequest &placed, TimePoint now);
    /// @brief Records that the exchange has ended, successfully or not.
    void finished(const PlacedRequest &placed, TimePoint now);
    /// @brief Records the number of prompt tokens that the engine reported as cached.
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
