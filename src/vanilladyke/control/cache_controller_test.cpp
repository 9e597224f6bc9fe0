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

TEST_F(CacheControllerTest, AppliesEventsOfAnEngineFeed)
{
    read(First, 1, 3, {{1, CacheEventKind::Stored, A}, {2, CacheEventKind::Stored, B}}, 1);
    read(First, 1, 4, {{3, CacheEventKind::Evicted, A}}, 2);
    EXPECT_TRUE(holders(A, 3).empty());
    ASSERT_EQ(holders(B, 3).size(), 1U);
    EXPECT_TRUE(holders(B, 3)[0].longest().trusted);
}

// Guards against trusting entries after a gap in an engine's feed: the missing event may have been
// an eviction, and a request routed there for the prefix would wait for a new prefill.
TEST_F(CacheControllerTest, GapInSequenceMarksEarlierEntriesUntrusted)
{
    read(First, 1, 2, {{1, CacheEventKind::Stored, A}}, 1);
    read(First, 1, 4, {{3, CacheEventKind::Stored, B}}, 2);
    EXPECT_FALSE(holders(A, 3).at(0).longest().trusted);
    EXPECT_TRUE(holders(B, 3).at(0).longest().trusted);
}

TEST_F(CacheControllerTest, EventsDroppedByTheEngineCountAsGap)
{
    read(First, 1, 2, {{1, CacheEventKind::Stored, A}}, 1);
    read(First, 9, 9, {}, 2);
    EXPECT_FALSE(holders(A, 3).at(0).longest().trusted);
}

// Guards against stale entries after an engine restart: a page of the former incarnation may arrive
// after the first report of the new one, whose cache is empty.
TEST_F(CacheControllerTest, LatePageOfAFormerIncarnationIsIgnored)
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

TEST_F(CacheControllerTest, SentPrefixIsExpectedToBeCached)
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
