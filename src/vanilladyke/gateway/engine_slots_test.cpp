#include "vanilladyke/gateway/engine_slots.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

ModelId copyModel()
{
    return ModelId("copy");
}

EngineView engineOf(const std::string &id, TimePoint measuredAt)
{
    EngineView engine;
    engine.id = EngineId(id);
    engine.state = EngineState::Ready;
    engine.models = {copyModel()};
    engine.slots = 2;
    engine.load.measuredAt = measuredAt;
    return engine;
}

Fleet fleetOf(std::size_t engines, TimePoint now)
{
    Bundle bundle;
    bundle.models.push_back({copyModel(), WeightsVersion("w1"), {}});
    bundle.limits.ejectedFraction = 0.5;
    Fleet fleet;
    fleet.bundle = std::make_shared<const Bundle>(bundle);
    for (std::size_t i = 0; i < engines; ++i) {
        fleet.engines.push_back(engineOf("e" + std::to_string(i), now));
    }
    return fleet;
}

class EngineSlotsTest : public testing::Test
{
protected:
    EngineSlotsTest() { slots.refresh(fleet, {}, now); }

    void fill(const std::string &engine)
    {
        slots.begin(EngineId(engine), copyModel());
        slots.begin(EngineId(engine), copyModel());
    }

    TimePoint now{std::chrono::seconds(1000)};
    Fleet fleet = fleetOf(2, now);
    EngineSlots slots;
};

TEST_F(EngineSlotsTest, ExcludesAFullEngineWhileAnotherIsAvailable)
{
    EXPECT_EQ(slots.slotsFor(copyModel(), fleet, now), 4U);
    fill("e0");
    EXPECT_EQ(slots.excludedFor(copyModel(), fleet, {}, now),
              std::vector<EngineId>{EngineId("e0")});
    fill("e1");
    EXPECT_TRUE(slots.excludedFor(copyModel(), fleet, {}, now).empty());
}

// An engine crashes while the others are full. If its free slots counted as available, the full
// engines would be excluded from the retry, and the caller refused although they still work.
TEST_F(EngineSlotsTest, AllowsFullEnginesForARetryWithNoOtherEngine)
{
    fill("e0");
    EXPECT_TRUE(slots.excludedFor(copyModel(), fleet, {EngineId("e1")}, now).empty());
}

// An ejected engine must stay excluded even when all others are full, or overload would send
// requests to a failing engine.
TEST_F(EngineSlotsTest, ExcludesAnEjectedEngineEvenIfAllOthersAreFull)
{
    for (int i = 0; i < Ejection::FailuresToEject; ++i) {
        slots.observe({EngineId("e1"), true, {}, {}}, fleet, now);
    }
    fill("e0");
    EXPECT_EQ(slots.excludedFor(copyModel(), fleet, {}, now),
              std::vector<EngineId>{EngineId("e1")});
    EXPECT_EQ(slots.slotsFor(copyModel(), fleet, now), 2U);
    EXPECT_TRUE(slots.earliestReadmission(copyModel(), fleet, now).has_value());
}

} // namespace
} // namespace vanilladyke
