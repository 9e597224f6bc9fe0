#include "vanilladyke/policy/part_evidence.hpp"

#include "vanilladyke/policy/quarantine_replay.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr WorkDigest Culprit{1, 1};
constexpr WorkDigest Bystander{2, 2};

/// End of an engine under a request that was sent a tenth of a second before.
EngineTermination endOf(std::uint64_t engine, int afterMs, std::uint64_t request)
{
    const TimePoint at = Start + milliseconds(afterMs);
    return {engine, at, true, request, at - milliseconds(100)};
}

// Half of the engines crash together. What all of them ran has ended none of them.
TEST(PartEvidence, EnginesThatCrashTogetherCountOnce)
{
    EXPECT_TRUE(
            selectCulprits({{Culprit, {endOf(1, 0, 1), endOf(2, 10, 2), endOf(3, 20, 3)}, false}})
                    .empty());
}

// A request that is sent again and again is caught by its own digest. Its parts may be sound.
TEST(PartEvidence, OneRequestThatIsSentAgainCountsOnce)
{
    EXPECT_TRUE(
            selectCulprits({{Culprit, {endOf(1, 0, 1), endOf(2, 500, 1), endOf(3, 900, 1)}, false}})
                    .empty());
}

// Sound requests stand beside those with the part on some of the engines that end, one of them
// twice.
TEST(PartEvidence, AnEndIsAttributedToThePartThatWasThereEachTime)
{
    const std::vector<CulpritPart> culprits = selectCulprits(
            {{Bystander, {endOf(2, 500, 11), endOf(3, 900, 12)}, false},
             {Culprit, {endOf(1, 0, 1), endOf(2, 500, 2), endOf(3, 900, 3)}, false}});
    ASSERT_EQ(culprits.size(), 1U);
    EXPECT_EQ(culprits[0].part, Culprit);
    EXPECT_EQ(culprits[0].ends, 3);
}

// The part that all requests of a caller share is there each time, too, and was answered a moment
// before.
TEST(PartEvidence, APartWithARecentAnswerComesLast)
{
    const std::vector<EngineTermination> ends{endOf(1, 0, 1), endOf(2, 500, 2), endOf(3, 900, 3)};
    std::vector<EngineTermination> more = ends;
    more.push_back(endOf(4, 1300, 4));
    const std::vector<CulpritPart> culprits =
            selectCulprits({{Bystander, more, true}, {Culprit, ends, false}});
    ASSERT_EQ(culprits.size(), 1U);
    EXPECT_EQ(culprits[0].part, Culprit);
}

// Engines end for two parts at the same time. Both have to be stopped.
TEST(PartEvidence, TwoPartsWithEndsOfTheirOwnAreBothFound)
{
    EXPECT_EQ(selectCulprits({{Culprit, {endOf(1, 0, 1), endOf(2, 500, 2)}, false},
                              {Bystander, {endOf(3, 100, 3), endOf(4, 700, 4)}, false}})
                      .size(),
              2U);
}

// A sound request lost two engines to others' requests. It must not be refused for ten minutes.
TEST(PartEvidence, WhatIsAttributedToAPartDoesNotCountAgainstRequests)
{
    RequestQuarantine quarantine;
    const WorkDigest sound{5, 5};
    for (int i = 0; i < 3; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        const EngineTermination end = endOf(number + 1, 400 * i, number);
        static_cast<void>(quarantine.recordPartTermination(Culprit, 1, end));
        static_cast<void>(quarantine.recordTermination(sound, 1, end));
    }
    EXPECT_TRUE(quarantine.isCulprit(Culprit));
    EXPECT_TRUE(quarantine.heldUntil(Culprit, Start + seconds(2)));
    EXPECT_FALSE(quarantine.heldUntil(sound, Start + seconds(2)));
}

// A whole answer at one node frees the part at all nodes, also at one that told of the ends later.
TEST(PartEvidence, ANodeThatSawThePartAnsweredTakesItsPart)
{
    RequestQuarantine first(1);
    RequestQuarantine second(2);
    Random random(1);
    static_cast<void>(second.recordPartAnswer(Culprit, Start + seconds(3)));
    static_cast<void>(first.recordPartTermination(Culprit, 1, endOf(1, 0, 1)));
    static_cast<void>(first.recordPartTermination(Culprit, 1, endOf(2, 500, 2)));
    const TimePoint now = Start + seconds(4);
    EXPECT_TRUE(first.heldUntil(Culprit, now));
    EXPECT_TRUE(second.applyUpdates(first.collectUpdates(2, 40, now, random), now).empty());
    EXPECT_FALSE(second.heldUntil(Culprit, now));
    static_cast<void>(first.applyUpdates(second.collectUpdates(2, 40, now, random), now));
    EXPECT_FALSE(first.heldUntil(Culprit, now));
}

// Requests with one part, no two alike, end nine engines within seconds, and again when they are
// back.
TEST(PartEvidence, ReplayOfAPartThatEndsEnginesIsStoppedSoon)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const Replay::Result result = Replay(seed, ReplayFault::Part, 0).run();
        EXPECT_LE(result.late, 3) << "seed " << seed << ", " << result.ended << " ended";
        // At least half as many as without the part, which refuses none.
        EXPECT_LE(2 * result.refusedLater, result.askedLater) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed),
                       std::to_string(result.ended) + " ended, " + std::to_string(result.late)
                               + " late, " + std::to_string(result.refused) + " of "
                               + std::to_string(result.asked));
    }
}

// The same while engines crash by chance, too: what is left of the sound requests is served.
TEST(PartEvidence, ReplayOfAPartBesideCrashesIsStoppedSoon)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Replay::Result result = Replay(seed, ReplayFault::Part, 3).run();
        EXPECT_LE(result.late, 3) << "seed " << seed << ", " << result.ended << " ended";
        EXPECT_LE(2 * result.refusedLater, result.askedLater) << "seed " << seed;
    }
}

} // namespace
} // namespace vanilladyke
