#include "vanilladyke/policy/claim_fold.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr WallTime Start = WallTime(std::chrono::hours(500'000));

ClaimKey keyAt(WallTime time, std::uint64_t seed = 1)
{
    Random random(seed);
    return {CustomerId("brand"), ServiceId("booking"), newUuidV7(time, random)};
}

ClaimNonce nonce(const char *process, std::uint64_t sequence = 1)
{
    return {ProcessId(process), sequence};
}

Claim claimBy(const char *process, const ClaimKey &key, const char *digest = "d")
{
    return {key, nonce(process), NodeId(process), RequestDigest(digest)};
}

ClaimFold folded(const ClaimBatch &records)
{
    ClaimFold fold;
    for (const ClaimRecord &record : records) {
        fold.apply(fold.next(), {record});
    }
    return fold;
}

// A booking is sent to two nodes at once, and both claim it. If the second could send as well, two
// brands would pay for one panel.
TEST(ClaimFold, TheFirstClaimInLogOrderOwnsTheKey)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold = folded({claimBy("a", key), claimBy("b", key)});
    EXPECT_EQ(fold.find(key)->owner, nonce("a"));
}

// The owner is killed between its claim and the answer. Nobody knows whether the booking was sent;
// if another node took over after a while, it could run twice.
TEST(ClaimFold, NobodyTakesOverAndOnlyTheOwnerSettles)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold = folded(
            {claimBy("a", key), ClaimRelease{key, nonce("b")},
             ClaimOutcome{key, nonce("b"), OutcomeKind::Answered, 200, "", ""}, claimBy("b", key)});
    EXPECT_EQ(fold.find(key)->owner, nonce("a"));
    EXPECT_EQ(fold.find(key)->stage, ClaimStage::Claimed);
}

TEST(ClaimFold, AReleasedKeyGoesToTheNextClaimWithTheSameBody)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold = folded({claimBy("a", key), ClaimRelease{key, nonce("a")},
                                   claimBy("b", key, "other"), claimBy("c", key)});
    EXPECT_EQ(fold.find(key)->owner, nonce("c"));
}

// The answer to an append is lost, the node appends its claim again, gives it up, and the network
// delivers the first append late. Brought back to life, the claim would block the key for good.
TEST(ClaimFold, ALateDuplicateDoesNotReviveAReleasedClaim)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold =
            folded({claimBy("a", key), ClaimRelease{key, nonce("a")}, claimBy("a", key)});
    EXPECT_EQ(fold.find(key)->stage, ClaimStage::Released);
}

TEST(ClaimFold, AKeyGivenUpTooOftenStaysClosed)
{
    const ClaimKey key = keyAt(Start);
    ClaimFold fold;
    for (std::uint64_t i = 1; i <= MostReleases + 1; ++i) {
        const ClaimNonce each = nonce("a", i);
        fold.apply(fold.next(),
                   {Claim{key, each, NodeId("a"), RequestDigest("d")}, ClaimRelease{key, each}});
    }
    EXPECT_EQ(fold.find(key)->stage, ClaimStage::Released);
    EXPECT_EQ(fold.find(key)->released.size(), MostReleases);
}

// Memory has to be bounded, so old keys are dropped. A key that is dropped but still accepted would
// look new, and a late repeat would book a second time.
TEST(ClaimFold, AForgottenKeyIsNotCovered)
{
    const ClaimKey old = keyAt(Start);
    const ClaimKey young = keyAt(Start + minutes(9), 2);
    ClaimFold fold = folded({claimBy("a", old), claimBy("a", young)});
    fold.forgetBefore(forgettableBefore(Start + minutes(11), minutes(10)));
    EXPECT_EQ(fold.size(), 1U);
    EXPECT_FALSE(fold.covers(old.key));
    EXPECT_TRUE(fold.covers(young.key));
}

TEST(ClaimFold, AKeyIsRefusedByAgeBeforeAnyNodeForgetsIt)
{
    const ClaimKey key = keyAt(Start);
    for (int second = 0; second < 700; ++second) {
        const WallTime slow = Start + seconds(second);
        const WallTime fast = slow + 2 * ClockSkew;
        const bool forgotten = key.key.time() < forgettableBefore(fast, minutes(10));
        EXPECT_FALSE(forgotten && judgeAge(key.key, slow, minutes(10)) == KeyAge::Valid);
    }
}

TEST(ClaimFold, KeysFromTheFutureAreRefused)
{
    EXPECT_EQ(judgeAge(keyAt(Start + seconds(6)).key, Start, minutes(10)), KeyAge::Ahead);
    EXPECT_EQ(judgeAge(keyAt(Start + seconds(4)).key, Start, minutes(10)), KeyAge::Valid);
}

// The log has dropped records that a node never saw: it was paused for long, or has just started.
// A claim may be among them, so that keys of that time must not be sent.
TEST(ClaimFold, KeysOlderThanAGapAreNotCovered)
{
    ClaimFold fold = folded({claimBy("a", keyAt(Start))});
    fold.skipTo(9, coveredFrom(Start + minutes(1)));
    EXPECT_EQ(fold.next(), 9U);
    EXPECT_FALSE(fold.covers(keyAt(Start + minutes(1)).key));
    EXPECT_TRUE(fold.covers(keyAt(Start + minutes(1) + 3 * ClockSkew).key));
}

TEST(ClaimFold, AnswersBeyondTheLimitAreDroppedOldestFirst)
{
    ClaimFold fold;
    const std::size_t answers = MostAnswerBytesKept / MostAnswerBytes + 1;
    std::vector<ClaimKey> keys;
    for (std::size_t i = 0; i < answers; ++i) {
        keys.push_back(keyAt(Start + std::chrono::milliseconds(i), i));
        fold.apply(fold.next(), {claimBy("a", keys.back()),
                                 ClaimOutcome{keys.back(), nonce("a"), OutcomeKind::Answered, 200,
                                              "text/plain", std::string(MostAnswerBytes, 'x')}});
    }
    EXPECT_LE(fold.answerBytes(), MostAnswerBytesKept);
    EXPECT_EQ(fold.find(keys.front())->outcome->kind, OutcomeKind::AnswerTooLarge);
    EXPECT_EQ(fold.find(keys.back())->outcome->kind, OutcomeKind::Answered);
}

} // namespace
} // namespace vanilladyke
