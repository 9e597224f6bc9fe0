#include "vanilladyke/policy/placement.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

Duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Candidate weigh(const PlacementRequest &request, const EngineView &engine, std::size_t index)
{
    Candidate candidate;
    candidate.engine = index;
    candidate.wait = secondsOf(static_cast<double>(engine.load.queuedPrefillTokens)
                               / engine.load.prefillTokensPerSecond);
    candidate.prefill = secondsOf(request.promptTokens / engine.load.prefillTokensPerSecond);
    candidate.cost = std::chrono::duration<double>(candidate.wait + candidate.prefill).count();
    return candidate;
}

} // namespace

Placement place(const PlacementRequest &request, const Fleet &fleet, TimePoint /*now*/,
                Random &random)
{
    Placement placement;
    for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
        const EngineView &engine = fleet.engines[i];
        const auto &excluded = request.excluded;
        const bool failed =
                std::find(excluded.begin(), excluded.end(), engine.id) != excluded.end();
        if (serves(engine, request.model) && !failed) {
            placement.candidates.push_back(weigh(request, engine, i));
        }
    }
    if (placement.candidates.empty()) {
        placement.reason = "no_engine";
        return placement;
    }
    std::shuffle(placement.candidates.begin(), placement.candidates.end(), random);
    placement.winner = *std::min_element(
            placement.candidates.begin(), placement.candidates.end(),
            [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    placement.reason = "least_cost";
    return placement;
}

} // namespace vanilladyke
