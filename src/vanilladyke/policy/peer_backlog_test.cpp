#include "vanilladyke/policy/peer_backlog.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

PrefillBacklog work(int urgency, double millis)
{
    PrefillBacklog result;
    result.add(urgency, Millis(millis));
    return result;
}

// A node reports a prompt of 150 ms and sends no further update. Guards against refusing callers a
// second later, when the engine has long been idle.
TEST(PeerBacklog, ReportedBacklogDrainsOverTime)
{
    PeerBacklog engine;
    static_cast<void>(engine.add(work(4, 150), at(0)));
    EXPECT_EQ(engine.ahead(4, at(50)), Millis(100));
    EXPECT_EQ(engine.ahead(4, at(1000)), Millis(0));
}

TEST(PeerBacklog, TheMostUrgentDrainsFirstAndTheLessUrgentIsNotAhead)
{
    PeerBacklog engine;
    static_cast<void>(engine.add(work(1, 40), at(0)));
    static_cast<void>(engine.add(work(4, 100), at(0)));
    EXPECT_EQ(engine.ahead(1, at(30)), Millis(10));
    EXPECT_EQ(engine.ahead(4, at(30)), Millis(110));
    EXPECT_EQ(engine.ahead(1, at(80)), Millis(0));
}

// A node sends a new report. Guards against subtracting its previous one from the reports of other
// nodes, whose queues would then look empty.
TEST(PeerBacklog, RemovingAReportKeepsTheReportsOfOthers)
{
    PeerBacklog engine;
    const auto first = engine.add(work(4, 100), at(0));
    static_cast<void>(engine.add(work(4, 300), at(0)));
    engine.remove(first, at(200)); // half of both has drained
    EXPECT_NEAR(engine.ahead(4, at(200)).count(), 150, 1e-6);
}

TEST(PeerBacklog, ADrainedReportIsNotRemovedFromLaterOnes)
{
    PeerBacklog engine;
    const auto old = engine.add(work(4, 100), at(0));
    static_cast<void>(engine.add(work(4, 70), at(500)));
    engine.remove(old, at(500));
    EXPECT_NEAR(engine.ahead(4, at(500)).count(), 70, 1e-6);
}

} // namespace
} // namespace vanilladyke
