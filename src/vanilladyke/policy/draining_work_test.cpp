#include "vanilladyke/policy/draining_work.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

WaitingWork work(int urgency, double millis)
{
    WaitingWork result;
    result.add(urgency, Millis(millis));
    return result;
}

// A node tells of a prompt of 150 ms and falls silent. A second later the engine is long idle, and
// whoever counts what was told refuses callers.
TEST(DrainingWork, WhatWasToldIsReadAsTimePasses)
{
    DrainingWork engine;
    static_cast<void>(engine.add(work(4, 150), at(0)));
    EXPECT_EQ(engine.ahead(4, at(50)), Millis(100));
    EXPECT_EQ(engine.ahead(4, at(1000)), Millis(0));
}

TEST(DrainingWork, TheMostUrgentIsReadFirstAndTheLessUrgentIsNotAhead)
{
    DrainingWork engine;
    static_cast<void>(engine.add(work(1, 40), at(0)));
    static_cast<void>(engine.add(work(4, 100), at(0)));
    EXPECT_EQ(engine.ahead(1, at(30)), Millis(10));
    EXPECT_EQ(engine.ahead(4, at(30)), Millis(110));
    EXPECT_EQ(engine.ahead(1, at(80)), Millis(0));
}

// A node tells anew: what is left of what it told before must not be taken from what other nodes
// told, or their queues look empty.
TEST(DrainingWork, TakingBackLeavesWhatOthersTold)
{
    DrainingWork engine;
    const auto first = engine.add(work(4, 100), at(0));
    static_cast<void>(engine.add(work(4, 300), at(0)));
    engine.takeBack(first, at(200)); // half of both is read
    EXPECT_NEAR(engine.ahead(4, at(200)).count(), 150, 1e-6);
}

TEST(DrainingWork, WhatWasReadIsNotTakenBackFromWhatCameLater)
{
    DrainingWork engine;
    const auto old = engine.add(work(4, 100), at(0));
    static_cast<void>(engine.add(work(4, 70), at(500)));
    engine.takeBack(old, at(500));
    EXPECT_NEAR(engine.ahead(4, at(500)).count(), 70, 1e-6);
}

} // namespace
} // namespace vanilladyke
