#include "vanilladyke/policy/placement_policy.hpp"

#include "vanilladyke/policy/rendezvous.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Engine time used by one request: the prefill of its uncached tokens or, if larger, its share of
/// the slots during decode.
Duration engineTime(const PlacementRequest &request, std::uint32_t sharedTokens,
                    const EngineView &engine)
{
    const double fresh = request.promptTokens - std::min(sharedTokens, request.promptTokens);
    const double decode = request.answerTokens / engine.load.decodeTokensPerSecond;
    const double slots = std::max<std::uint32_t>(engine.slots, 1);
    return spanOfSeconds(std::max(fresh / engine.load.prefillTokensPerSecond, decode / slots));
}

} // namespace

Placement PlacementPolicy::decide(const PlacementRequest &request, const Fleet &fleet,
                                  std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                  TimePoint now, Random &random)
{
    std::uint32_t preferredCount = 1;
    const auto levels = sharedLevels(request.chain);
    const ModelEngines *engines = fleet.index ? fleet.index->serving(request.model) : nullptr;
    if (levels && engines != nullptr) {
        const EngineView &any = fleet.engines[engines->members.front().engine];
        preferredCount = m_hot.countRequest(levels->shared.hash,
                                            engineTime(request, levels->deepest.tokens, any),
                                            fleet.liveNodes, now);
    }
    const PlacementInputs inputs{holders, m_survival, m_inFlight, m_slots, preferredCount, kept};
    return place(request, fleet, inputs, now, random);
}

Placement PlacementPolicy::forecast(const PlacementRequest &request, const Fleet &fleet,
                                    std::span<const PrefixHolder> holders, const KeptPrefix &kept,
                                    TimePoint now, Random &random) const
{
    const auto levels = sharedLevels(request.chain);
    const std::uint32_t preferredCount = levels ? m_hot.preferredCount(levels->shared.hash) : 1;
    const PlacementInputs inputs{holders, m_survival, m_inFlight, m_slots, preferredCount, kept};
    return place(request, fleet, inputs, now, random);
}

PlacedRequest PlacementPolicy::sent(const PlacementRequest &request, const Fleet &fleet,
                                    const Placement &placement, TimePoint now)
{
    const Candidate &chosen = *placement.winner;
    const EngineView &engine = fleet.engines[chosen.engine];
    const std::uint32_t had = chosen.expectedCachedTokens + chosen.importedTokens;
    const std::uint32_t missing = request.promptTokens - std::min(had, request.promptTokens);
    m_slots.sent(engine.key, now);
    return {m_inFlight.start(engine.key, missing, now), chosen,      engine.key, engine.incarnation,
            engine.load.decodeTokensPerSecond,          std::nullopt};
}

void PlacementPolicy::firstToken(PlacedRequest &placed, TimePoint now)
{
    placed.firstTokenAt = now;
    m_inFlight.firstToken(placed.ticket);
}

void PlacementPolicy::finished(const PlacedRequest &placed, TimePoint now)
{
    m_inFlight.finish(placed.ticket);
    if (placed.firstTokenAt) {
        const double ran = secondsOf(now - *placed.firstTokenAt);
        m_slots.ended(ran * placed.decodeTokensPerSecond);
    }
}

void PlacementPolicy::learn(const PlacedRequest &placed, std::uint32_t cachedTokens)
{
    const std::vector<PrefixEstimate> &estimates = placed.chosen.estimates;
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        const std::uint32_t next = i + 1 < estimates.size() ? estimates[i + 1].tokens : 0;
        m_survival.learn(estimates[i].evidence, estimates[i].age, estimates[i].tokens - next,
                         cachedTokens > next ? cachedTokens - next : 0);
    }
}

} // namespace vanilladyke
