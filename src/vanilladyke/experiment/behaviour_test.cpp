#include "vanilladyke/experiment/comparison.hpp"
#include "vanilladyke/experiment/simulation.hpp"
#include "vanilladyke/experiment/ways.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::seconds;

constexpr Duration Length = seconds(40);

/// Twelve engines and one customer with few long guides.
Deployment smallDeployment(std::uint32_t guides, double skew)
{
    Deployment deployment = shadeline();
    deployment.engines = 12;
    deployment.customerWeights = {1.0};
    deployment.levels = {{guides, 6000, 6000, skew}};
    deployment.shiftEvery = seconds(1000);
    return deployment;
}

WayResult measure(const char *way, const Deployment &deployment, double requestsPerSecond,
                  std::uint64_t seed = 5)
{
    return measureWay(way, deployment, 1, requestsPerSecond, Length, seed);
}

// Everybody asks about one guide. On its home alone callers would queue while eleven engines are
// idle; on all engines it would be computed twelve times. They must get their answers in time.
TEST(PlacementBehaviour, AHotPrefixSpreadsOverAsManyEnginesAsItNeeds)
{
    const Deployment deployment = smallDeployment(1, 0);
    const WayResult ours = measure("placement-only", deployment, 30);
    const WayResult home = measure("prefix-hash", deployment, 30);
    EXPECT_EQ(ours.late, 0U);
    EXPECT_GT(home.late, 100U);
    EXPECT_GT(ours.hitRate, 0.93);
}

// Every five seconds another guide gets hot, before anybody could have arranged for it. The first
// callers wait until it has been computed; nobody may wait for longer than allowed, and few may be
// refused.
TEST(PlacementBehaviour, AHotPrefixThatShiftsMakesNobodyLate)
{
    Deployment deployment = smallDeployment(20, 2.0);
    deployment.shiftEvery = seconds(5);
    const WayResult ours = measure("vanilladyke", deployment, 30);
    EXPECT_EQ(ours.late, 0U);
    EXPECT_LE(ours.refused * 20, ours.requests);
    EXPECT_GT(ours.hitRate, 0.85);
}

// The same, with nobody refused and nobody queued before placement: whoever asks is placed at once.
// The callers of a home that has just filled up wait for a slot longer than was predicted.
TEST(PlacementBehaviour, AHotPrefixThatShiftsMakesNobodyLateWithPlacementAlone)
{
    Deployment deployment = smallDeployment(20, 2.0);
    deployment.shiftEvery = seconds(5);
    EXPECT_EQ(measure("placement-only", deployment, 30).late, 0U);
}

// Guards against a prediction that holds for one sequence of arrivals only.
TEST(PlacementBehaviour, AHotPrefixThatShiftsMakesNobodyLateInAnySequence)
{
    Deployment deployment = smallDeployment(20, 2.0);
    deployment.shiftEvery = seconds(5);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        EXPECT_EQ(measure("placement-only", deployment, 30, seed).late, 0U) << seed;
    }
}

// One of twelve engines computes at a tenth of its speed and says so in its reports. Its callers
// would wait seconds for a first token; they must be served elsewhere.
TEST(PlacementBehaviour, ASlowBackendServerGetsLittleWork)
{
    const Deployment deployment = smallDeployment(24, 0.5);
    const std::vector<SimRequest> trace = makeTrace(deployment, 30, Length, 5);
    std::vector<EngineModel> engines(deployment.engines, EngineModel(deployment.engine));
    engines[3].setSpeed(0.1);
    std::vector<VanilladykeNode> nodes;
    for (std::size_t i = 0; i < deployment.nodes; ++i) {
        nodes.emplace_back(deployment, i);
    }
    const auto results = Simulation<VanilladykeNode>(deployment, trace, engines, nodes, 5).run();
    std::size_t late = 0;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const bool warm = trace[i].arrivesAt >= TimePoint(seconds(5));
        late += warm && *results[i].firstTokenAt > trace[i].firstTokenDeadline ? 1 : 0;
    }
    EXPECT_LE(late * 100, trace.size());
}

} // namespace
} // namespace vanilladyke
