#include "vanilladyke/policy/stream_version.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

VersionEvidence watched()
{
    VersionEvidence evidence;
    evidence.isListFresh = true;
    evidence.own = 1;
    evidence.watchedSince = Start;
    return evidence;
}

VersionEvidence toldByAnother()
{
    VersionEvidence evidence = watched();
    evidence.own.reset();
    evidence.others = 1;
    evidence.othersListedAt = Start + std::chrono::milliseconds(1);
    evidence.isOthersAlone = true;
    return evidence;
}

TEST(StreamVersion, TheOnlyVersionOfAFreshListBeganTheStream)
{
    EXPECT_EQ(onlyPossibleVersion(watched()), 1U);
    EXPECT_EQ(onlyPossibleVersion(toldByAnother()), 1U);
}

// The node stood still or was cut off while servers of a second version joined.
TEST(StreamVersion, AnOldListProvesNothing)
{
    VersionEvidence evidence = watched();
    evidence.isListFresh = false;
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
    evidence = toldByAnother();
    evidence.isListFresh = false;
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
}

// The node has just started, or has missed a version that came and went.
TEST(StreamVersion, AnotherNodeThatKnowsOfSeveralIsBelieved)
{
    VersionEvidence evidence = watched();
    evidence.areSeveralKnown = true;
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
}

// A version came and left after the other node's reading and before this node's first one.
TEST(StreamVersion, AnotherNodesWordCountsOnlyWithoutAGapBetweenBothLists)
{
    VersionEvidence evidence = toldByAnother();
    evidence.othersListedAt = Start - std::chrono::milliseconds(1);
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
    evidence = toldByAnother();
    evidence.isOthersAlone = false;
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
    evidence = toldByAnother();
    evidence.watchedSince.reset();
    EXPECT_EQ(onlyPossibleVersion(evidence), std::nullopt);
}

} // namespace
} // namespace vanilladyke
