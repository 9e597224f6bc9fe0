#include "vanilladyke/policy/back_off.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const TimePoint start{std::chrono::hours(1)};

// The log is down for minutes. Nodes that keep calling would hold it down when it returns, and
// nodes that wait ever longer would notice too late that it is back.
TEST(BackOff, SpansGrowToTheCapAndStayThere)
{
    Random random(1);
    BackOff backOff;
    TimePoint now = start;
    EXPECT_TRUE(backOff.mayTry(now));
    for (int i = 0; i < 1000; ++i) {
        backOff.failed(now, random);
        EXPECT_FALSE(backOff.mayTry(now));
        const Duration span = backOff.retryAt() - now;
        const Duration full =
                std::min<Duration>(milliseconds(1000), milliseconds(50) * (1 << std::min(i, 10)));
        EXPECT_GE(span, full / 2);
        EXPECT_LE(span, full);
        now = backOff.retryAt();
        EXPECT_TRUE(backOff.mayTry(now));
    }
    backOff.succeeded();
    EXPECT_FALSE(backOff.down());
    EXPECT_TRUE(backOff.mayTry(now));
}

// All nodes lose the log in the same moment. Were they to call again in step, the log would see
// all of them at once each time.
TEST(BackOff, NodesThatFailTogetherDoNotReturnTogether)
{
    std::set<TimePoint> returns;
    for (std::uint64_t node = 0; node < 9; ++node) {
        Random random(node);
        BackOff backOff;
        for (int i = 0; i < 6; ++i) {
            backOff.failed(start, random);
        }
        returns.insert(backOff.retryAt());
    }
    EXPECT_EQ(returns.size(), 9U);
    EXPECT_GT(*returns.rbegin() - *returns.begin(), milliseconds(200));
}

} // namespace
} // namespace vanilladyke
