#include "vanilladyke/policy/hot_prefixes.hpp"
#include "vanilladyke/policy/in_flight.hpp"
#include "vanilladyke/policy/survival.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Engines under memory pressure evict faster than the initial estimate assumes. Callers wait for
// lost prefixes until the estimate is corrected, which has to take few answers.
TEST(Survival, FollowsWhatEnginesReportAsCached)
{
    Survival survival;
    const double before = survival.fraction(Evidence::Known, seconds(3));
    for (int i = 0; i < 30; ++i) {
        survival.learn(Evidence::Known, seconds(3), 6000, 600);
        survival.learn(Evidence::Known, milliseconds(50), 6000, 6000);
    }
    EXPECT_GT(before, 0.8);
    EXPECT_LT(survival.fraction(Evidence::Known, seconds(3)), 0.25);
    EXPECT_GT(survival.fraction(Evidence::Known, milliseconds(60)), 0.95);
    EXPECT_GT(survival.fraction(Evidence::Untrusted, seconds(3)), 0.4);
}

TEST(Survival, WithoutEvidenceTheExpectedFractionIsZero)
{
    EXPECT_EQ(Survival().fraction(Evidence::None, {}), 0.0);
}

TEST(InFlight, CountsOnlyWorkThatTheReportCannotHaveSeen)
{
    constexpr EngineKey Engine{1};
    InFlight work;
    const TimePoint start;
    const InFlightTicket old = work.start(Engine, 4000, start + seconds(1));
    const InFlightTicket fresh = work.start(Engine, 3000, start + seconds(3));
    EXPECT_EQ(work.since(Engine, start + seconds(2)).prefillTokens, 3000U);
    EXPECT_EQ(work.since(Engine, start).requests, 2U);
    work.firstToken(fresh);
    EXPECT_EQ(work.since(Engine, start + seconds(2)).prefillTokens, 0U);
    EXPECT_EQ(work.since(Engine, start + seconds(2)).requests, 1U);
    work.finish(fresh);
    work.finish(old);
    EXPECT_EQ(work.count(Engine), 0U);
}

// One prefix becomes the subject of most requests. On a single engine its callers would queue: it
// has to get more preferred engines within seconds, and lose them when its rate falls.
TEST(HotPrefixes, AHotPrefixHasMorePreferredEnginesUntilItsRateFalls)
{
    HotPrefixes hot;
    const ChainHash prefix{1, 1};
    TimePoint now;
    std::uint32_t preferred = 0;
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(10);
        preferred = hot.countRequest(prefix, std::chrono::milliseconds(20), 1, now);
    }
    EXPECT_EQ(preferred, 4U); // 100 a second at 20 ms fill two engines; at 60 % utilisation, four
    now += seconds(60);
    EXPECT_EQ(hot.countRequest(prefix, std::chrono::milliseconds(20), 1, now), 1U);
}

TEST(HotPrefixes, ASmallChangeOfRateKeepsThePreferredEngines)
{
    HotPrefixes hot;
    const ChainHash prefix{1, 1};
    TimePoint now;
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(10);
        static_cast<void>(hot.countRequest(prefix, std::chrono::milliseconds(20), 1, now));
    }
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(12);
        EXPECT_EQ(hot.countRequest(prefix, std::chrono::milliseconds(20), 1, now), 4U);
    }
}

TEST(HotPrefixes, StaysBoundedAndKeepsTheHotOnes)
{
    HotPrefixes hot;
    const ChainHash prefix{1, 1};
    TimePoint now;
    std::uint32_t preferred = 0;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += milliseconds(1);
        static_cast<void>(hot.countRequest({2, i}, std::chrono::milliseconds(20), 1, now));
        if (i % 10 == 0) {
            preferred = hot.countRequest(prefix, std::chrono::milliseconds(20), 1, now);
        }
    }
    EXPECT_EQ(preferred, 4U);
}

} // namespace
} // namespace vanilladyke
