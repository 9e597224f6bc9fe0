#include "vanilladyke/policy/cache_view.hpp"
#include "vanilladyke/policy/placement_policy.hpp"
#include "vanilladyke/policy/rendezvous.hpp"

#include <benchmark/benchmark.h>

// Nanoseconds a placement decision takes, look-up in the cache view included, by engines and by
// cuts of the prompt.
namespace {

using namespace vanilladyke;

constexpr Incarnation FirstLife{1};
constexpr std::size_t ViewBytes = 16U << 20U;
constexpr std::uint64_t Guides = 2000;

Fleet fleetOf(std::size_t engines)
{
    Fleet fleet;
    fleet.bundle = std::make_shared<const Bundle>();
    for (std::size_t i = 0; i < engines; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.key = engineKeyOf(engine.id);
        engine.incarnation = FirstLife;
        engine.state = EngineState::Ready;
        engine.models = {ModelId("copy")};
        engine.slots = 32;
        fleet.engines.push_back(engine);
    }
    fleet.index = indexEngines(fleet.engines, nullptr);
    return fleet;
}

PrefixChain chainOf(std::uint64_t guide, std::size_t cuts)
{
    PrefixChain chain;
    for (std::size_t i = 0; i < cuts; ++i) {
        const std::uint64_t low = mixBits(guide * 1000 + i);
        const bool endsMessage = i + 2 == cuts || i + 1 == cuts;
        chain.push_back(
                {{mixBits(low), low}, static_cast<std::uint32_t>(512 * (i + 1)), endsMessage});
    }
    return chain;
}

CacheView viewOf(const Fleet &fleet, std::size_t cuts)
{
    CacheView view(ViewBytes);
    Random random(1);
    for (const EngineView &engine : fleet.engines) {
        view.setIncarnation(engine.key, engine.incarnation, {});
    }
    for (std::uint64_t guide = 0; guide < Guides; ++guide) {
        for (int holder = 0; holder < 3; ++holder) {
            const EngineView &engine = fleet.engines[uniformBelow(random, fleet.engines.size())];
            for (const PrefixCut &cut : chainOf(guide, cuts)) {
                view.stored(engine.key, engine.incarnation, cut.hash, {});
            }
        }
    }
    return view;
}

void decide(benchmark::State &state)
{
    const Fleet fleet = fleetOf(static_cast<std::size_t>(state.range(0)));
    const auto cuts = static_cast<std::size_t>(state.range(1));
    const CacheView view = viewOf(fleet, cuts);
    PlacementPolicy policy;
    Random random(1);
    PlacementRequest request;
    request.model = ModelId("copy");
    request.answerTokens = 200;
    const TimePoint now(std::chrono::seconds(1));
    std::uint64_t guide = 0;
    for (auto _ : state) {
        state.PauseTiming();
        request.chain = chainOf(guide++ % Guides, cuts);
        request.promptTokens = request.chain.back().tokens;
        state.ResumeTiming();
        const auto holders = view.holders(request.chain, now);
        benchmark::DoNotOptimize(policy.decide(request, fleet, holders, {}, now, random));
    }
}
BENCHMARK(decide)->ArgNames({"engines", "cuts"})->ArgsProduct({{12, 100, 1000, 6700}, {1, 8, 64}});

void indexFleet(benchmark::State &state)
{
    const Fleet fleet = fleetOf(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(indexEngines(fleet.engines, nullptr));
    }
}
BENCHMARK(indexFleet)->ArgName("engines")->Arg(12)->Arg(6700);

} // namespace

BENCHMARK_MAIN();
