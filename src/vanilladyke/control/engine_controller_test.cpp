#include "vanilladyke/control/engine_controller.hpp"

#include "vanilladyke/control/host_list_poller.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const EngineId engineId("e1");
const TimePoint start{std::chrono::hours(1)};

std::shared_ptr<const Bundle> bundleOf(const char *weights)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version = 1;
    bundle->models.push_back({ModelId("copy"), WeightsVersion(weights), {}});
    for (const char *id : {"e1", "e2"}) {
        EngineEntry entry;
        entry.id = EngineId(id);
        entry.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(id[1])};
        entry.models = {ModelId("copy")};
        bundle->engines.push_back(entry);
    }
    return bundle;
}

EngineReported report(const char *id, const char *weights, std::uint64_t incarnation = 1)
{
    EngineReported reported;
    reported.engine = EngineId(id);
    reported.incarnation = Incarnation{incarnation};
    reported.held = {{ModelId("copy"), WeightsVersion(weights), {}}};
    return reported;
}

Fleet contribution(EngineController &controller, const std::shared_ptr<const Bundle> &bundle)
{
    Fleet fleet;
    fleet.bundle = bundle;
    controller.contribute(fleet, start);
    return fleet;
}

// Guards against a load report making a leaving engine ready again: it would get requests that are
// cut off when its host stops.
TEST(EngineController, LoadReportDoesNotResetLeaving)
{
    const auto bundle = bundleOf("w1");
    EngineController controller;
    controller.handle(report("e1", "w1"), start);
    EXPECT_EQ(contribution(controller, bundle).engines[0].state, EngineState::Ready);
    controller.handle(EngineLeaving{engineId}, start);
    controller.handle(report("e1", "w1"), start);
    EXPECT_EQ(contribution(controller, bundle).engines[0].state, EngineState::Leaving);
    controller.handle(report("e1", "w1", 2), start);
    EXPECT_EQ(contribution(controller, bundle).engines[0].state, EngineState::Ready);
}

// Guards against a restarted node that is ready before it polled its engines: it would refuse the
// requests that the load balancer sends. An engine that does not answer must not delay readiness,
// and one that a later bundle adds must not revoke it.
TEST(EngineController, EnginesAreKnownOnceEachWasPolled)
{
    EngineController controller;
    EXPECT_FALSE(contribution(controller, bundleOf("w1")).enginesKnown);
    controller.handle(report("e1", "w1"), start);
    EXPECT_FALSE(contribution(controller, bundleOf("w1")).enginesKnown);
    controller.handle(EngineUnreachable{EngineId("e2"), "refused"}, start);
    EXPECT_TRUE(contribution(controller, bundleOf("w1")).enginesKnown);
    auto grown = std::make_shared<Bundle>(*bundleOf("w1"));
    grown->engines.push_back(grown->engines.front());
    grown->engines.back().id = EngineId("e3");
    EXPECT_TRUE(contribution(controller, grown).enginesKnown);
}

// Guards against routing by new weights before any engine holds them: no engine would match until
// loading ends.
TEST(EngineController, TrafficUsesTheWeightsThatEnginesServe)
{
    EngineController controller;
    controller.handle(report("e1", "w1"), start);
    controller.handle(report("e2", "w1"), start);
    static_cast<void>(contribution(controller, bundleOf("w1")));
    const auto next = bundleOf("w2");
    const Fleet before = contribution(controller, next);
    EXPECT_EQ(before.bundle->models[0].weights, WeightsVersion("w1"));
    ASSERT_EQ(controller.changing().size(), 1U);
    EXPECT_EQ(findEngine(before, controller.changing()[0])->state, EngineState::Loading);
    controller.handle(report(controller.changing()[0].str().c_str(), "w2"), start);
    const Fleet after = contribution(controller, next);
    EXPECT_EQ(after.bundle->models[0].weights, WeightsVersion("w2"));
    EXPECT_EQ(
            std::count_if(after.engines.begin(), after.engines.end(),
                          [](const EngineView &engine) { return serves(engine, ModelId("copy")); }),
            1);
}

TEST(HostListPoller, ReportsOnlyEnginesThatMayStillGetWork)
{
    const auto bundle = bundleOf("w1");
    EngineController controller;
    controller.handle(report("e1", "w1"), start);
    const Endpoint first = bundle->engines[0].endpoint;
    const std::vector<ListedHost> hosts{{first, HostKind::Backend, true},
                                        {{"127.0.0.1", 9}, HostKind::Backend, true}};
    EXPECT_EQ(newlyLeaving(hosts, contribution(controller, bundle)), std::vector{engineId});
    controller.handle(EngineLeaving{engineId}, start);
    EXPECT_TRUE(newlyLeaving(hosts, contribution(controller, bundle)).empty());
}

} // namespace
} // namespace vanilladyke
