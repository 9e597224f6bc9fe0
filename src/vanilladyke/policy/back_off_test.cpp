#include "vanilladyke/policy/back_off.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const TimePoint start{std::chrono::hours(1)};

// The log is down for minutes. Without growing intervals the nodes would overload it when it
// returns; without the cap they would detect its return too late.
TEST(BackOff, IntervalsGrowToTheCapAndStayThere)
{
    Random random(1);
    BackOff backOff;
    TimePoint now = start;
    EXPECT_TRUE(backOff.mayTry(now));
    for (int i = 0; i < 1000; ++i) {
        backOff.failed(now, random);
        EXPECT_FALSE(backOff.mayTry(now));
        const Duration interval = backOff.retryAt() - now;
        const Duration full =
                std::min<Duration>(milliseconds(1000), milliseconds(50) * (1 << std::min(i, 10)));
        EXPECT_GE(interval, full / 2);
        EXPECT_LE(interval, full);
        now = backOff.retryAt();
        EXPECT_TRUE(backOff.mayTry(now));
    }
    backOff.succeeded();
    EXPECT_FALSE(backOff.down());
    EXPECT_TRUE(backOff.mayTry(now));
}

// All nodes lose the log at the same moment. If they retried in step, the log would get the calls
// of all nodes at once each time.
TEST(BackOff, NodesThatFailTogetherDoNotRetryTogether)
{
    std::set<TimePoint> retryTimes;
    for (std::uint64_t node = 0; node < 9; ++node) {
        Random random(node);
        BackOff backOff;
        for (int i = 0; i < 6; ++i) {
            backOff.failed(start, random);
        }
        retryTimes.insert(backOff.retryAt());
    }
    EXPECT_EQ(retryTimes.size(), 9U);
    EXPECT_GT(*retryTimes.rbegin() - *retryTimes.begin(), milliseconds(200));
}

} // namespace
} // namespace vanilladyke
