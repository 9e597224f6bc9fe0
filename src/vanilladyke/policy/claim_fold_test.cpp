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

// Guards against two senders: a call reaches two nodes at once, and both claim its key.
TEST(ClaimFold, TheFirstClaimInLogOrderOwnsTheKey)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold = folded({claimBy("a", key), claimBy("b", key)});
    EXPECT_EQ(fold.find(key)->owner, nonce("a"));
}

// Guards against taking over a claim whose owner was killed before it recorded an outcome: the call
// may have been sent and could run twice.
TEST(ClaimFold, NoOtherNodeTakesOverOrSettlesAClaim)
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

// Guards against a key that stays blocked: the answer to an append is lost, the node appends its
// claim again and releases it, and then the first append is written. The late copy must not
// reactivate the claim.
TEST(ClaimFold, ALateDuplicateDoesNotReactivateAReleasedClaim)
{
    const ClaimKey key = keyAt(Start);
    const ClaimFold fold =
            folded({claimBy("a", key), ClaimRelease{key, nonce("a")}, claimBy("a", key)});
    EXPECT_EQ(fold.find(key)->stage, ClaimStage::Released);
}

TEST(ClaimFold, AKeyReleasedTooOftenCannotBeClaimedAgain)
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

// Guards against accepting a key whose entry was dropped to bound memory: it would look unused, and
// a late repeat would run the call a second time.
TEST(ClaimFold, ADroppedKeyIsNotCovered)
{
    const ClaimKey old = keyAt(Start);
    const ClaimKey young = keyAt(Start + minutes(9), 2);
    ClaimFold fold = folded({claimBy("a", old), claimBy("a", young)});
    fold.dropBefore(droppableBefore(Start + minutes(11), minutes(10)));
    EXPECT_EQ(fold.size(), 1U);
    EXPECT_FALSE(fold.covers(old.key));
    EXPECT_TRUE(fold.covers(young.key));
}

TEST(ClaimFold, AKeyIsRefusedByAgeBeforeAnyNodeDropsIt)
{
    const ClaimKey key = keyAt(Start);
    for (int second = 0; second < 700; ++second) {
        const WallTime slow = Start + seconds(second);
        const WallTime fast = slow + 2 * ClockSkew;
        const bool isDropped = key.key.time() < droppableBefore(fast, minutes(10));
        EXPECT_FALSE(isDropped && checkAge(key.key, slow, minutes(10)) == KeyAge::Valid);
    }
}

TEST(ClaimFold, KeysFromTheFutureAreRefused)
{
    EXPECT_EQ(checkAge(keyAt(Start + seconds(6)).key, Start, minutes(10)), KeyAge::InFuture);
    EXPECT_EQ(checkAge(keyAt(Start + seconds(4)).key, Start, minutes(10)), KeyAge::Valid);
}

// Guards against sending a call whose claim was missed: the log dropped records before this node
// read them, because it was paused or has just started.
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
