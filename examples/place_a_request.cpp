// A placement decision without a network: three engines, one of which holds most of the prompt.
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
#include "vanilladyke/policy/placement.hpp"

#include <iostream>
#include <memory>

using namespace vanilladyke;

namespace {

const ModelId copyModel("copy");
const WeightsVersion copyWeights("w1");

EngineEntry engineNamed(const std::string &name)
{
    EngineEntry engine;
    engine.id = EngineId(name);
    engine.models = {copyModel};
    return engine;
}

Fleet readyFleet(TimePoint now)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->models = {{copyModel, copyWeights, {}}};
    bundle->engines = {engineNamed("copy-1"), engineNamed("copy-2"), engineNamed("copy-3")};
    EngineController controller;
    for (const EngineEntry &engine : bundle->engines) {
        controller.handle(EngineReported{engine.id, Incarnation{1}, {{copyModel, copyWeights}}, {}},
                          now);
    }
    Fleet fleet;
    fleet.bundle = bundle;
    controller.contribute(fleet, now);
    return fleet;
}

} // namespace

int main()
{
    const TimePoint now = MonotonicClock::now();
    const Fleet fleet = readyFleet(now);
    const std::string guide(40'000, 'g');
    const std::vector<std::string_view> messages{guide, "Write a headline for a bus shelter."};
    PlacementRequest request;
    request.customer = CustomerId("brand");
    request.model = copyModel;
    request.chain = buildPrefixChain({request.customer, copyModel, copyWeights}, messages);
    request.promptTokens = request.chain.back().tokens;

    CacheView view(1U << 20U);
    const EngineView &holder = fleet.engines[1];
    view.setIncarnation(holder.key, holder.incarnation, now);
    view.stored(holder.key, holder.incarnation, request.chain[request.chain.size() - 2].hash, now);

    const auto holders = view.holders(request.chain, now);
    const Survival survival;
    const InFlight inFlight;
    const SlotForecast slots;
    Random random(1);
    const Placement placement =
            place(request, fleet, {holders, survival, inFlight, slots, 1, {}}, now, random);
    for (const Candidate &candidate : placement.candidates) {
        std::cout << fleet.engines[candidate.engine].id
                  << " expected_cached=" << candidate.expectedCachedTokens
                  << " cost=" << candidate.cost << '\n';
    }
    std::cout << "winner=" << fleet.engines[placement.winner->engine].id
              << " reason=" << placement.reason << '\n';
}
