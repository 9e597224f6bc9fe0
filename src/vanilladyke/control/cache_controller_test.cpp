#include "vanilladyke/control/cache_controller.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::seconds;

const EngineId copyEngine("copy-1");
constexpr Incarnation First{1};
constexpr Incarnation Second{2};

struct Fixture : testing::Test
{
    SharedCacheView view{1U << 20U};
    CacheController controller{view};

    void read(Incarnation incarnation, std::uint64_t first, std::uint64_t next,
              std::vector<CacheEvent> events, int second)
    {
        const CacheEventsRead page{copyEngine, incarnation, first, next, std::move(events)};
        controller.handle(page, TimePoint(seconds(second)));
    }

    [[nodiscard]] std::vector<PrefixHolder> holders(const ChainHash &hash, int second) const
    {
        return view.holders({{hash, 512, true}}, TimePoint(seconds(second)));
    }
};

using CacheControllerTest = Fixture;

constexpr ChainHash A{1, 1};
constexpr ChainHash B{2, 2};

TEST_F(CacheControllerTest, FollowsTheFeedOfAnEngine)
{
    read(First, 1, 3, {{1, CacheEventKind::Stored, A}, {2, CacheEventKind::Stored, B}}, 1);
    read(First, 1, 4, {{3, CacheEventKind::Evicted, A}}, 2);
    EXPECT_TRUE(holders(A, 3).empty());
    ASSERT_EQ(holders(B, 3).size(), 1U);
    EXPECT_TRUE(holders(B, 3)[0].longest().trusted);
}

// The engine's feed skips a number, which may have been the eviction of a prefix. A caller that is
// sent there for it waits while it is computed anew, so what was known before is trusted less.
TEST_F(CacheControllerTest, AMissingNumberMakesWhatWasKnownDoubtful)
{
    read(First, 1, 2, {{1, CacheEventKind::Stored, A}}, 1);
    read(First, 1, 4, {{3, CacheEventKind::Stored, B}}, 2);
    EXPECT_FALSE(holders(A, 3).at(0).longest().trusted);
    EXPECT_TRUE(holders(B, 3).at(0).longest().trusted);
}

TEST_F(CacheControllerTest, EventsThatTheEngineNoLongerKeepsAreAGapToo)
{
    read(First, 1, 2, {{1, CacheEventKind::Stored, A}}, 1);
    read(First, 9, 9, {}, 2);
    EXPECT_FALSE(holders(A, 3).at(0).longest().trusted);
}

// An engine crashes, comes back empty, and a page of its former life arrives after the first report
// of the new one. Callers must not be sent to it for what only its former life had.
TEST_F(CacheControllerTest, ALatePageOfAFormerLifeCountsForNothing)
{
    read(First, 1, 2, {{1, CacheEventKind::Stored, A}}, 1);
    EngineReported report;
    report.engine = copyEngine;
    report.incarnation = Second;
    controller.handle(report, TimePoint(seconds(2)));
    EXPECT_TRUE(holders(A, 2).empty());
    read(First, 1, 3, {{2, CacheEventKind::Stored, B}}, 3);
    EXPECT_TRUE(holders(B, 3).empty());
}

TEST_F(CacheControllerTest, WhatThisNodeSentIsExpectedToBeCached)
{
    read(First, 1, 1, {}, 1);
    const auto chain = std::make_shared<const PrefixChain>(PrefixChain{{A, 512, true}});
    controller.handle(PrefixSent{engineKeyOf(copyEngine), First, chain}, TimePoint(seconds(2)));
    EXPECT_EQ(holders(A, 2).size(), 1U);
    controller.handle(PrefixSent{engineKeyOf(copyEngine), Second, chain}, TimePoint(seconds(3)));
    EXPECT_EQ(holders(A, 3).size(), 1U);
}

} // namespace
} // namespace vanilladyke
