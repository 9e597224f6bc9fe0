#include "vanilladyke/gateway/placer.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/policy/placement.hpp"

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

} // namespace

std::optional<EngineView> placeAttempt(const RequestContext &context, const Fleet &fleet,
                                       const std::vector<EngineId> &excluded, Random &random)
{
    const PlacementRequest wanted{context.customer,
                                  context.model,
                                  context.chain,
                                  context.promptTokens,
                                  context.answerTokens,
                                  context.firstTokenDeadline,
                                  excluded};
    const Survival survival;
    const InFlight inFlight;
    const Placement placement =
            place(wanted, fleet, {{}, survival, inFlight, 1, {}}, MonotonicClock::now(), random);
    logPlacement(context, fleet, placement);
    if (!placement.winner) {
        return std::nullopt;
    }
    return fleet.engines[placement.winner->engine];
}

} // namespace vanilladyke
