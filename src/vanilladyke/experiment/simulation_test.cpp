#include "vanilladyke/experiment/comparison.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(BlockCache, GivesUpTheEndsOfPrefixesLongestUnusedFirst)
{
    BlockCache cache(1536);
    std::vector<CacheChange> changes;
    const PrefixChain a{{{1, 1}, 512, false}, {{2, 2}, 1024, true}};
    const PrefixChain b{{{1, 1}, 512, false}, {{3, 3}, 1024, true}};
    const PrefixChain c{{{1, 1}, 512, false}, {{4, 4}, 1024, true}};
    cache.use(a, changes);
    cache.use(b, changes);
    cache.use(c, changes);
    EXPECT_EQ(cache.cachedTokens(a), 512U);
    EXPECT_EQ(cache.cachedTokens(b), 1024U);
    EXPECT_EQ(cache.cachedTokens(c), 1024U);
}

TEST(Trace, IsTheSameForTheSameSeed)
{
    const auto once = makeTrace(ashline(), 20, std::chrono::seconds(5), 7);
    const auto again = makeTrace(ashline(), 20, std::chrono::seconds(5), 7);
    ASSERT_EQ(once.size(), again.size());
    ASSERT_FALSE(once.empty());
    for (std::size_t i = 0; i < once.size(); ++i) {
        EXPECT_EQ(once[i].arrivesAt, again[i].arrivesAt);
        EXPECT_EQ(once[i].chain, again[i].chain);
    }
}

TEST(Measurement, RepeatsExactlyForTheSameSeed)
{
    const Duration length = std::chrono::seconds(10);
    const WayResult once = measureWay("vanilladyke", ashline(), 0.5, 30, length, 3);
    const WayResult again = measureWay("vanilladyke", ashline(), 0.5, 30, length, 3);
    EXPECT_EQ(once.hitRate, again.hitRate);
    EXPECT_EQ(once.ttftP99Ms, again.ttftP99Ms);
    EXPECT_EQ(once.recomputedTokens, again.recomputedTokens);
}

} // namespace
} // namespace vanilladyke
