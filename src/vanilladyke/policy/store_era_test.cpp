#include "vanilladyke/policy/store_era.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};

TEST(StoreEra, AnAnswerOfAnOlderEraDoesNotCount)
{
    StoreEra era;
    int changes = 0;
    era.onChanged = [&](const StoreEraView &) { ++changes; };
    EXPECT_TRUE(era.observed(0, Start)); // a store that names none
    EXPECT_TRUE(era.observed(3, Start + seconds(1)));
    EXPECT_FALSE(era.observed(2, Start + seconds(2)));
    EXPECT_FALSE(era.observed(0, Start + seconds(2)));
    EXPECT_TRUE(era.observed(3, Start + seconds(3)));
    EXPECT_EQ(era.view().since, Start + seconds(1));
    EXPECT_EQ(changes, 1);
}

// Whoever saw an era first saw it after the store had come back: all nodes may count from then.
TEST(StoreEra, AnotherNodesEarlierSightCounts)
{
    StoreEra era;
    EXPECT_TRUE(era.observed(3, Start + seconds(10)));
    era.told(3, seconds(4), Start + seconds(11));
    EXPECT_EQ(era.view().since, Start + seconds(7));
    era.told(3, seconds(1), Start + seconds(12));
    EXPECT_EQ(era.view().since, Start + seconds(7));
    era.told(2, seconds(60), Start + seconds(12));
    EXPECT_EQ(era.view().era, 3U);
    era.told(5, seconds(1), Start + seconds(13));
    EXPECT_EQ(era.view().era, 5U);
    EXPECT_EQ(era.view().since, Start + seconds(12));
    EXPECT_FALSE(era.observed(3, Start + seconds(14)));
}

} // namespace
} // namespace vanilladyke
