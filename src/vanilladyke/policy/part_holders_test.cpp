#include "vanilladyke/policy/part_holders.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr std::uint64_t Tokens = 13'000;
constexpr std::uint64_t Memory = 180'000;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(millis));
}

PartHolders::Lookup lookupOf(std::uint64_t part, std::uint64_t weights)
{
    return {part, weights, Tokens, Memory};
}

TEST(PartHolders, HoldsRecentlySentParts)
{
    PartHolders holders;
    holders.recordUse({7, 1, 3, Tokens}, at(0));
    EXPECT_TRUE(holders.holds(lookupOf(7, 3), 1, at(5000)));
    EXPECT_FALSE(holders.holds(lookupOf(7, 3), 2, at(5000)));
    EXPECT_FALSE(holders.holds(lookupOf(8, 3), 1, at(5000)));
    EXPECT_FALSE(holders.holds(lookupOf(7, 3), 1, at(30'000)));
}

// Fourteen parts are sent to an engine whose cache holds ten. Guards against treating the first one
// as cached at its next use although it was evicted and has to be fetched.
TEST(PartHolders, APartIsEvictedByWhatWasWrittenSince)
{
    PartHolders holders;
    for (std::uint64_t part = 0; part < 14; ++part) {
        holders.recordUse({part, 1, 3, Tokens}, at(static_cast<int>(part) * 100));
    }
    EXPECT_FALSE(holders.holds(lookupOf(0, 3), 1, at(1500)));
    EXPECT_TRUE(holders.holds(lookupOf(8, 3), 1, at(1500)));
    holders.recordUse({8, 1, 3, 3'000}, at(1600));
    EXPECT_TRUE(holders.holds(lookupOf(8, 3), 1, at(1700))) << "the use renewed it";
}

TEST(PartHolders, WithUnknownCapacityTheAgeDecides)
{
    PartHolders holders;
    holders.recordUse({7, 1, 3, Tokens}, at(0));
    EXPECT_TRUE(holders.holds({7, 3, Tokens, 0}, 1, at(7999)));
    EXPECT_FALSE(holders.holds({7, 3, Tokens, 0}, 1, at(8000)));
}

// Guards against fetching cached work for new weights that was computed under the old ones.
TEST(PartHolders, WorkUnderOtherWeightsDoesNotCount)
{
    PartHolders holders;
    holders.recordUse({7, 1, 3, Tokens}, at(0));
    EXPECT_TRUE(holders.holders(lookupOf(7, 4), at(10)).empty());
    holders.recordUse({7, 1, 4, Tokens}, at(20));
    EXPECT_TRUE(holders.holders(lookupOf(7, 3), at(30)).empty());
    EXPECT_EQ(holders.holders(lookupOf(7, 4), at(30)).size(), 1U);
}

TEST(PartHolders, TheOldestHolderIsDropped)
{
    PartHolders holders;
    for (std::uint64_t backend = 0; backend <= PartHolders::MaxHolders; ++backend) {
        holders.recordUse({7, backend, 1, Tokens}, at(static_cast<int>(backend)));
    }
    EXPECT_EQ(holders.holders(lookupOf(7, 1), at(100)).size(), PartHolders::MaxHolders);
    EXPECT_FALSE(holders.holds(lookupOf(7, 1), 0, at(100)));
}

TEST(PartHolders, ItsSizeIsBoundedByTimeAndNumber)
{
    PartHolders holders;
    for (std::uint64_t part = 0; part < PartHolders::MaxParts + 1000; ++part) {
        holders.recordUse({part, 1, 1, 0}, at(0));
    }
    EXPECT_EQ(holders.size(), PartHolders::MaxParts);
    for (std::uint64_t part = 0; part < 5000; ++part) {
        holders.recordUse({part, 1, 1, 0}, at(31'000));
    }
    EXPECT_LE(holders.size(), 5000U);
}

} // namespace
} // namespace vanilladyke
