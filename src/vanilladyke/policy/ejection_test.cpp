#include "vanilladyke/policy/ejection.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

EngineId engineAt(std::size_t index)
{
    return EngineId("e" + std::to_string(index));
}

Fleet fleetOf(std::size_t engines, double fraction)
{
    Bundle bundle;
    bundle.limits.ejectedFraction = fraction;
    bundle.models.push_back({ModelId("copy"), WeightsVersion("w1"), {}});
    Fleet fleet;
    fleet.bundle = std::make_shared<const Bundle>(bundle);
    for (std::size_t i = 0; i < engines; ++i) {
        EngineView engine;
        engine.id = engineAt(i);
        engine.state = EngineState::Ready;
        engine.models = {ModelId("copy")};
        fleet.engines.push_back(engine);
    }
    return fleet;
}

void answer(Ejection &ejection, const Fleet &fleet, std::size_t engine, Duration firstToken,
            TimePoint now)
{
    ejection.observe({engineAt(engine), false, milliseconds(100), firstToken}, fleet, now);
}

bool fail(Ejection &ejection, const Fleet &fleet, std::size_t engine, TimePoint now)
{
    return ejection.observe({engineAt(engine), true, milliseconds(100), {}}, fleet, now);
}

// An engine resets every connection at once and therefore always looks idle. A share of all
// requests would fail until an operator removed it.
TEST(Ejection, EjectsAFailingEngineAndRampsItUpAgain)
{
    const Fleet fleet = fleetOf(4, 0.3);
    Ejection ejection;
    for (int i = 0; i < Ejection::FailuresToEject; ++i) {
        fail(ejection, fleet, 0, Start);
    }
    EXPECT_TRUE(ejection.ejected(engineAt(0), Start));
    EXPECT_EQ(ejection.allowance(engineAt(0), Start), 0);
    const TimePoint back = *ejection.endsAt(engineAt(0), Start);
    EXPECT_FALSE(ejection.ejected(engineAt(0), back));
    EXPECT_NEAR(ejection.allowance(engineAt(0), back), Ejection::SlowStart, 1e-9);
    EXPECT_LT(ejection.allowance(engineAt(0), back + seconds(5)), 1);
    EXPECT_EQ(ejection.allowance(engineAt(0), back + Ejection::RampTime), 1);
}

// An engine's disk or cooling fails and it answers ten times slower while reporting itself healthy.
// Its callers would wait much longer for their first token than those of the other engines.
TEST(Ejection, EjectsASlowEngineButNoneWhenAllAreSlow)
{
    const Fleet fleet = fleetOf(4, 0.3);
    Ejection oneSlow;
    Ejection allSlow;
    for (int i = 0; i < 40; ++i) {
        for (std::size_t engine = 0; engine < 4; ++engine) {
            const Duration slow = milliseconds(1000);
            answer(oneSlow, fleet, engine, engine == 2 ? slow : milliseconds(110), Start);
            answer(allSlow, fleet, engine, slow, Start);
        }
    }
    EXPECT_TRUE(oneSlow.ejected(engineAt(2), Start));
    for (std::size_t engine = 0; engine < 4; ++engine) {
        EXPECT_EQ(oneSlow.ejected(engineAt(engine), Start), engine == 2);
        EXPECT_FALSE(allSlow.ejected(engineAt(engine), Start));
    }
}

// An engine that never recovers returns again and again. Each return fails some requests, so
// returns must become rarer.
TEST(Ejection, GrowsTheBackoffOfAnEngineThatFailsAgain)
{
    const Fleet fleet = fleetOf(4, 0.3);
    Ejection ejection;
    TimePoint now = Start;
    Duration last{};
    for (int round = 0; round < 4; ++round) {
        while (!fail(ejection, fleet, 0, now)) {
        }
        const TimePoint end = *ejection.endsAt(engineAt(0), now);
        EXPECT_GT(end - now, last);
        last = end - now;
        now = end;
    }
}

// Half of the engines fail together, as after a switch failure. Ejecting all of them would overload
// the rest, and a fleet that shrinks afterwards must reinstate some.
TEST(Ejection, ReinstatesEnginesWhenTheFleetShrinks)
{
    const Fleet fleet = fleetOf(10, 0.3);
    Ejection ejection;
    for (std::size_t engine = 0; engine < 5; ++engine) {
        for (int i = 0; i < 20; ++i) {
            fail(ejection, fleet, engine, Start + milliseconds(engine));
        }
    }
    const auto ejectedNow = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < 10; ++i) {
            count += ejection.ejected(engineAt(i), Start + milliseconds(10)) ? 1U : 0U;
        }
        return count;
    };
    EXPECT_EQ(ejectedNow(), 3U);
    ejection.enforceCap(fleetOf(4, 0.3), Start + milliseconds(10));
    EXPECT_EQ(ejectedNow(), 1U);
}

RC_GTEST_PROP(Ejection, NeverEjectsMoreThanTheCap, ())
{
    const std::size_t engines = *rc::gen::inRange<std::size_t>(1, 12);
    const double fraction = *rc::gen::inRange(0, 101) / 100.0;
    const Fleet fleet = fleetOf(engines, fraction);
    Ejection ejection;
    TimePoint now = Start;
    for (int i = 0; i < 400; ++i) {
        const auto engine = *rc::gen::inRange<std::size_t>(0, engines);
        now += milliseconds(*rc::gen::inRange(0, 50));
        if (*rc::gen::inRange(0, 4) == 0) {
            answer(ejection, fleet, engine, milliseconds(*rc::gen::inRange(1, 5000)), now);
        } else {
            fail(ejection, fleet, engine, now);
        }
        std::size_t ejected = 0;
        for (std::size_t each = 0; each < engines; ++each) {
            ejected += ejection.ejected(engineAt(each), now) ? 1U : 0U;
        }
        RC_ASSERT(ejected <= maxEjected(engines, fraction));
    }
}

} // namespace
} // namespace vanilladyke
