#include "vanilladyke/policy/slot_forecast.hpp"

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/placement_policy.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Slots = 32;
constexpr double TokensPerSecond = 50;
const TimePoint start = TimePoint(seconds(100));

EngineView engineOf(std::uint32_t running, std::uint32_t waiting, TimePoint measuredAt)
{
    EngineView engine;
    engine.id = EngineId("home");
    engine.key = engineKeyOf(engine.id);
    engine.slots = Slots;
    engine.load.running = running;
    engine.load.waiting = waiting;
    engine.load.measuredAt = measuredAt;
    engine.load.decodeTokensPerSecond = TokensPerSecond;
    return engine;
}

/// Records answers of 110 to 330 tokens, about two to seven seconds.
void recordAnswers(SlotForecast &forecast)
{
    for (std::size_t i = 0; i < AnswerLengths::MaxSamples; ++i) {
        forecast.ended(110 + 220.0 * static_cast<double>(i) / AnswerLengths::MaxSamples);
    }
}

// Guards against forecasting by the mean: for a preferred engine that filled up half a second ago
// it predicts a free slot within 140 ms.
TEST(SlotForecast, AnEngineThatHasJustFilledUpReleasesNoSlotForMostOfAnAnswer)
{
    SlotForecast forecast;
    recordAnswers(forecast);
    EngineView engine = engineOf(Slots, 0, start);
    engine.slotAges = agesAfter(nullptr, engine.load);
    EXPECT_GT(forecast.untilFree(engine, 1, 220, start + milliseconds(500)), milliseconds(1500));
    EXPECT_LT(forecast.untilFree(engine, 1, 220, start + milliseconds(500)), milliseconds(3000));
}

// Guards against avoiding an engine that has been full for a while: there a slot is released every
// 140 ms.
TEST(SlotForecast, AnEngineThatIsAlwaysFullReleasesSlotsSteadily)
{
    SlotForecast forecast;
    recordAnswers(forecast);
    std::shared_ptr<const SlotAges> ages;
    for (std::uint32_t i = 0; i < Slots; ++i) {
        ages = agesAfter(ages, engineOf(i + 1, 0, start + milliseconds(140) * i).load);
    }
    const TimePoint now = start + milliseconds(140) * Slots;
    EngineView engine = engineOf(Slots, 0, now);
    engine.slotAges = ages;
    EXPECT_LT(forecast.untilFree(engine, 1, 220, now), milliseconds(500));
}

// Guards against underestimated waits when only a part of the backlog ahead is counted.
TEST(SlotForecast, CountsTheWholeBacklogAhead)
{
    SlotForecast forecast;
    recordAnswers(forecast);
    EngineView engine = engineOf(Slots, 2 * Slots, start);
    engine.slotAges = agesAfter(nullptr, engine.load);
    const Duration first = forecast.untilFree(engine, 1, 220, start);
    const Duration third = forecast.untilFree(engine, 1 + 2 * Slots, 220, start);
    EXPECT_GT(third - first, seconds(8));
}

// Guards against nine nodes that each see room for one more request and together send nine.
TEST(SlotForecast, AssumesThatOtherNodesSendAsMuchAsThisNode)
{
    SlotForecast forecast;
    const EngineView engine = engineOf(30, 0, start);
    for (int i = 0; i < 4; ++i) {
        forecast.sent(engine.key, start + milliseconds(250) * i);
    }
    const TimePoint now = start + seconds(1);
    const double others = forecast.sentByOthers(
            engine.key, engineOf(30, 0, now - milliseconds(250)).load, 9, now);
    EXPECT_GT(others, 3);
    EXPECT_LT(others, 9);
    EXPECT_EQ(forecast.sentByOthers(engine.key, engine.load, 1, now), 0);
}

// Guards against memory that grows with each engine ever seen.
TEST(SlotForecast, DropsTheEntryOfAnUnusedEngine)
{
    SlotForecast forecast;
    const EngineView engine = engineOf(30, 0, start);
    forecast.sent(engine.key, start);
    forecast.sent(EngineKey{7}, start + 3 * SlotForecast::RetentionTime);
    EXPECT_EQ(forecast.sentByOthers(engine.key, engine.load, 9, start + milliseconds(1)), 0);
}

// Guards against choosing a preferred engine that is full beyond the deadline because prefill
// elsewhere has a cost: the first token would be late.
TEST(SlotForecast, ARequestAvoidsAPreferredEngineThatReleasesNoSlotInTime)
{
    Fleet fleet;
    fleet.bundle = std::make_shared<const Bundle>();
    for (const char *name : {"home", "idle"}) {
        EngineView engine = engineOf(0, 0, start);
        engine.id = EngineId(name);
        engine.key = engineKeyOf(engine.id);
        engine.state = EngineState::Ready;
        engine.models = {ModelId("copy")};
        fleet.engines.push_back(engine);
    }
    fleet.engines[0].load.running = Slots;
    fleet.engines[0].load.waiting = Slots;
    fleet.index = indexEngines(fleet.engines, nullptr);
    PlacementRequest request;
    request.model = ModelId("copy");
    request.chain = {{{1, 2}, 40'000, true}};
    request.promptTokens = 40'100;
    request.answerTokens = 220;
    request.firstTokenDeadline = start + seconds(6);
    const std::vector<PrefixHolder> holders{{fleet.engines[0].key,
                                             fleet.engines[0].incarnation,
                                             {CachedLength{40'000, seconds(1), true}},
                                             1}};
    PlacementPolicy policy;
    Random random(1);
    const Placement placement = policy.decide(request, fleet, holders, {}, start, random);
    EXPECT_EQ(placement.winner->engine, 1U);
    EXPECT_EQ(placement.reason, "in_time");
    request.firstTokenDeadline = start + seconds(60);
    EXPECT_EQ(policy.decide(request, fleet, holders, {}, start, random).winner->engine, 0U);
}

} // namespace
} // namespace vanilladyke
