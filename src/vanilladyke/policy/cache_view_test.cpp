#include "vanilladyke/policy/cache_view.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace vanilladyke {
namespace {

using std::chrono::seconds;

constexpr EngineKey One{1};
constexpr EngineKey Two{2};
constexpr Incarnation First{1};
constexpr Incarnation Second{2};

TimePoint at(int second)
{
    return TimePoint(seconds(second));
}

ChainHash hashOf(std::uint64_t number)
{
    return {number, number * 7919};
}

PrefixChain chainOf(std::uint64_t from, std::uint64_t cuts)
{
    PrefixChain chain;
    for (std::uint64_t i = 0; i < cuts; ++i) {
        chain.push_back({hashOf(from + i), static_cast<std::uint32_t>((i + 1) * 512), false});
    }
    return chain;
}

TEST(CacheView, GivesTheLongestKnownPrefixOfEachHolderLongestFirst)
{
    CacheView view(1U << 16U);
    view.setIncarnation(One, First, at(0));
    view.setIncarnation(Two, First, at(0));
    const PrefixChain chain = chainOf(100, 4);
    view.stored(One, First, chain[0].hash, at(1));
    view.stored(One, First, chain[1].hash, at(1));
    view.stored(Two, First, chain[3].hash, at(2));
    const auto holders = view.holders(chain, at(5));
    ASSERT_EQ(holders.size(), 2U);
    EXPECT_EQ(holders[0].engine, Two);
    EXPECT_EQ(holders[0].longest().tokens, 2048U);
    EXPECT_EQ(holders[0].longest().age, seconds(3));
    EXPECT_EQ(holders[1].engine, One);
    EXPECT_EQ(holders[1].longest().tokens, 1024U);
}

TEST(CacheView, ReportsShorterPrefixesWithNewerUpdates)
{
    CacheView view(1U << 16U);
    view.setIncarnation(One, First, at(0));
    const PrefixChain chain = chainOf(100, 3);
    for (const PrefixCut &cut : chain) {
        view.stored(One, First, cut.hash, at(1));
    }
    view.stored(One, First, chain[0].hash, at(9));
    const auto holders = view.holders(chain, at(11));
    ASSERT_EQ(holders.size(), 1U);
    ASSERT_EQ(holders[0].lengthCount, 2U);
    EXPECT_EQ(holders[0].lengths[0].tokens, 1536U);
    EXPECT_EQ(holders[0].lengths[0].age, seconds(10));
    EXPECT_EQ(holders[0].lengths[1].tokens, 512U);
    EXPECT_EQ(holders[0].lengths[1].age, seconds(2));
}

// Guards against routing to a restarted engine for entries of its previous incarnation: its cache
// is empty, so it would prefill whole prompts.
TEST(CacheView, ANewIncarnationHoldsNothingOfTheOldOne)
{
    CacheView view(1U << 16U);
    view.setIncarnation(One, First, at(0));
    view.stored(One, First, hashOf(1), at(1));
    view.setIncarnation(One, Second, at(2));
    EXPECT_TRUE(view.holders(chainOf(1, 1), at(2)).empty());
    view.stored(One, First, hashOf(1), at(3));
    EXPECT_TRUE(view.holders(chainOf(1, 1), at(3)).empty());
}

// Guards against relying on entries after a gap in the engine's cache events, which may have hidden
// an eviction: they are not trusted until the engine reports them again.
TEST(CacheView, EntriesFromBeforeAGapAreNotTrusted)
{
    CacheView view(1U << 16U);
    view.setIncarnation(One, First, at(0));
    view.stored(One, First, hashOf(1), at(1));
    view.markUntrusted(One, at(2));
    EXPECT_FALSE(view.holders(chainOf(1, 1), at(3)).at(0).longest().trusted);
    view.stored(One, First, hashOf(1), at(4));
    EXPECT_TRUE(view.holders(chainOf(1, 1), at(5)).at(0).longest().trusted);
}

TEST(CacheView, AFullSetEvictsTheOldestEntry)
{
    CacheView view(1); // one set of 16
    view.setIncarnation(One, First, at(0));
    for (int i = 1; i <= 17; ++i) {
        view.stored(One, First, hashOf(i), at(i));
    }
    EXPECT_TRUE(view.holders(chainOf(1, 1), at(20)).empty());
    EXPECT_EQ(view.holders(chainOf(2, 1), at(20)).size(), 1U);
    EXPECT_EQ(view.holders(chainOf(17, 1), at(20)).size(), 1U);
}

// Guards against holders from a past incarnation while engines crash, restart and are removed in
// any order and events of every incarnation still arrive: each holder must have the engine's
// current incarnation and a prefix that it stored and has not evicted.
RC_GTEST_PROP(CacheView, NeverCountsADeadIncarnation,
              (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> &steps))
{
    CacheView view(1U << 14U);
    std::map<EngineKey, std::uint64_t> incarnations;
    std::map<std::pair<EngineKey, std::uint64_t>, bool> held;
    int now = 0;
    for (const auto &[what, which, hash] : steps) {
        const EngineKey engine{which % 3U + 1U};
        ++now;
        switch (what % 5U) {
        case 0:
            incarnations[engine] = now;
            view.setIncarnation(engine, Incarnation{incarnations[engine]}, at(now));
            std::erase_if(held, [&](const auto &item) { return item.first.first == engine; });
            break;
        case 1:
            incarnations.erase(engine);
            view.removeEngine(engine);
            std::erase_if(held, [&](const auto &item) { return item.first.first == engine; });
            break;
        case 2:
            view.evicted(engine,
                         Incarnation{incarnations.contains(engine) ? incarnations[engine] : 0},
                         hashOf(hash % 8U));
            held.erase({engine, hash % 8U});
            break;
        case 3:
            view.stored(engine, Incarnation{9'999'999}, hashOf(hash % 8U), at(now));
            break;
        default:
            if (incarnations.contains(engine)) {
                view.stored(engine, Incarnation{incarnations[engine]}, hashOf(hash % 8U), at(now));
                held[{engine, hash % 8U}] = true;
            }
        }
        for (std::uint64_t each = 0; each < 8; ++each) {
            for (const PrefixHolder &holder : view.holders(chainOf(each, 1), at(now))) {
                RC_ASSERT(held.contains({holder.engine, each}));
                RC_ASSERT(holder.incarnation == Incarnation{incarnations.at(holder.engine)});
            }
        }
    }
}

} // namespace
} // namespace vanilladyke
