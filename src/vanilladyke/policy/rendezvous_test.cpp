#include "vanilladyke/policy/rendezvous.hpp"

#include <gtest/gtest.h>

#include <map>

namespace vanilladyke {
namespace {

std::vector<EngineView> enginesOf(int count)
{
    std::vector<EngineView> engines;
    for (int i = 0; i < count; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.key = engineKeyOf(engine.id);
        engine.state = EngineState::Ready;
        engine.models = {ModelId("copy")};
        engines.push_back(engine);
    }
    return engines;
}

ChainHash hashOf(std::uint64_t number)
{
    return {mixBits(number), mixBits(number + 1'000'000)};
}

std::vector<std::uint32_t> orderIn(const std::vector<EngineView> &engines, const ChainHash &hash)
{
    const FleetIndex index(engines);
    return rendezvousOrder(*index.serving(ModelId("copy")), hash, 3);
}

TEST(Rendezvous, EachEngineIsPreferredForAboutTheSameShareOfPrefixes)
{
    const std::vector<EngineView> engines = enginesOf(18);
    const FleetIndex index(engines);
    std::map<std::uint32_t, int> preferredCounts;
    for (std::uint64_t i = 0; i < 18'000; ++i) {
        ++preferredCounts[rendezvousOrder(*index.serving(ModelId("copy")), hashOf(i), 1).front()];
    }
    ASSERT_EQ(preferredCounts.size(), 18U);
    for (const auto &[engine, count] : preferredCounts) {
        EXPECT_GT(count, 800) << engine;
        EXPECT_LT(count, 1200) << engine;
    }
}

// Guards against a full reshuffle when an engine fails: only the prefixes of the failed engine may
// move, or each loss of an engine would invalidate every cache.
TEST(Rendezvous, ALostEngineMovesOnlyItsOwnPrefixes)
{
    const std::vector<EngineView> all = enginesOf(18);
    std::vector<EngineView> fewer = all;
    fewer[7].state = EngineState::Dead;
    int moved = 0;
    for (std::uint64_t i = 0; i < 2000; ++i) {
        const std::uint32_t before = orderIn(all, hashOf(i)).front();
        const std::uint32_t after = orderIn(fewer, hashOf(i)).front();
        moved += before != 7 && before != after ? 1 : 0;
        EXPECT_NE(after, 7U);
    }
    EXPECT_EQ(moved, 0);
}

TEST(Rendezvous, TheOrderDoesNotDependOnHowTheBundleListsEngines)
{
    const std::vector<EngineView> engines = enginesOf(40);
    const std::vector<EngineView> reversed(engines.rbegin(), engines.rend());
    for (std::uint64_t i = 0; i < 100; ++i) {
        const auto order = orderIn(engines, hashOf(i));
        const auto other = orderIn(reversed, hashOf(i));
        ASSERT_EQ(order.size(), 3U);
        for (std::size_t rank = 0; rank < order.size(); ++rank) {
            EXPECT_EQ(engines[order[rank]].id, reversed[other[rank]].id);
        }
    }
}

TEST(SharedLevels, AreTheLongestMessageAndTheOneBeforeTheLast)
{
    const PrefixChain chain{{hashOf(1), 500, true},
                            {hashOf(2), 1000, false},
                            {hashOf(3), 6500, true},
                            {hashOf(4), 7500, true},
                            {hashOf(5), 20'000, true}};
    const auto levels = sharedLevels(chain);
    ASSERT_TRUE(levels.has_value());
    EXPECT_EQ(levels->shared.hash, hashOf(3));
    EXPECT_EQ(levels->deepest.hash, hashOf(4));
    EXPECT_FALSE(sharedLevels({}).has_value());
}

} // namespace
} // namespace vanilladyke
