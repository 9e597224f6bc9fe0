#include "vanilladyke/policy/state_dump.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

const TimePoint start{std::chrono::seconds(1000)};

Fleet smallFleet()
{
    Fleet fleet;
    auto bundle = std::make_shared<Bundle>();
    bundle->version = 7;
    bundle->models = {{ModelId("copy"), WeightsVersion("w1"), {}}};
    bundle->objective.recomputeWeight = 2.5;
    fleet.bundle = bundle;
    EngineView engine;
    engine.id = EngineId("copy-1");
    engine.key = engineKeyOf(engine.id);
    engine.incarnation = Incarnation{42};
    engine.state = EngineState::Ready;
    engine.models = {ModelId("copy")};
    engine.slots = 8;
    engine.load.measuredAt = start - std::chrono::milliseconds(120);
    engine.load.queuedPrefillTokens = 900;
    fleet.engines = {engine};
    fleet.index = indexEngines(fleet.engines, nullptr);
    return fleet;
}

TEST(StateDump, RoundTrips)
{
    const Fleet fleet = smallFleet();
    const CacheEntry entry{fleet.engines[0].key, Incarnation{42}, {1, 2}, std::chrono::seconds(3)};
    const CacheEntry unknown{EngineKey{1}, Incarnation{1}, {3, 4}, {}};
    const auto read = readStateDump(writeStateDump(fleet, {entry, unknown}, start), start);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->cache, std::vector{entry});
    ASSERT_EQ(read->fleet.engines.size(), 1U);
    const EngineView &engine = read->fleet.engines[0];
    EXPECT_EQ(engine.state, EngineState::Ready);
    EXPECT_EQ(engine.load.measuredAt, fleet.engines[0].load.measuredAt);
    EXPECT_EQ(engine.load.queuedPrefillTokens, 900U);
    EXPECT_EQ(read->fleet.bundle->version, 7U);
    EXPECT_DOUBLE_EQ(read->fleet.bundle->objective.recomputeWeight, 2.5);
    EXPECT_NE(read->fleet.index->serving(ModelId("copy")), nullptr);
}

TEST(StateDump, ReportsEveryInvalidField)
{
    const auto read = readStateDump(
            R"({"engines": [{"id": "a", "state": "asleep"}], "cache": [{"engine": "a", "hash": "x"}]})",
            start);
    ASSERT_FALSE(read.has_value());
    ASSERT_EQ(read.error().size(), 2U);
    EXPECT_EQ(read.error()[0].field, "engines[0].state");
    EXPECT_EQ(read.error()[1].field, "cache[0].hash");
}

RC_GTEST_PROP(StateDump, AcceptsOrRefusesAnyBytes, (const std::string &bytes))
{
    const auto read = readStateDump(bytes, start);
    RC_ASSERT(read.has_value() || !read.error().empty());
}

} // namespace
} // namespace vanilladyke
