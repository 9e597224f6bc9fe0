#include "vanilladyke/gateway/placer.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

namespace {

void logPlacement(const RequestContext &context, const Fleet &fleet, const Placement &placement)
{
    LogEvent event("placement");
    event.field("request", context.id.str())
            .field("customer", context.customer.str())
            .field("model", context.model.str())
            .field("prompt_tokens", context.promptTokens)
            .field("candidates", placement.candidates.size())
            .field("reason", placement.reason);
    if (placement.winner) {
        event.field("engine", fleet.engines[placement.winner->engine].id.str())
                .field("cost", placement.winner->cost);
    }
}

PlacementRequest requestOf(const RequestContext &context, const std::vector<EngineId> &excluded)
{
    return {context.customer,
            context.model,
            context.chain,
            context.promptTokens,
            context.answerTokens,
            context.firstTokenDeadline,
            excluded};
}

/// Homes and reported load only, until the node keeps a view of its own.
Placement decide(const RequestContext &context, const Fleet &fleet,
                 const std::vector<EngineId> &excluded, Random &random)
{
    const Survival survival;
    const InFlight inFlight;
    return place(requestOf(context, excluded), fleet, {{}, survival, inFlight, 1, {}},
                 MonotonicClock::now(), random);
}

} // namespace

std::optional<Candidate> forecastPlacement(const RequestContext &context, const Fleet &fleet,
                                           const std::vector<EngineId> &excluded, Random &random)
{
    return decide(context, fleet, excluded, random).winner;
}

std::optional<PlacedAttempt> placeAttempt(const RequestContext &context, const Fleet &fleet,
                                          const std::vector<EngineId> &excluded, Random &random)
{
    const Placement placement = decide(context, fleet, excluded, random);
    logPlacement(context, fleet, placement);
    if (!placement.winner) {
        return std::nullopt;
    }
    const Candidate &winner = *placement.winner;
    return PlacedAttempt{fleet.engines[winner.engine], winner.wait + winner.prefill};
}

} // namespace vanilladyke
