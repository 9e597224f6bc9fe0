#include "vanilladyke/policy/slot_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace vanilladyke {
namespace {

// Forty nodes share an engine with eight slots. Truncated, a fifth of a slot is 0 and no node would
// use the engine; rounded up, it would get forty requests.
RC_GTEST_PROP(SlotShare, EqualSharesOfAllNodesAddUpToTheSlots, ())
{
    const std::size_t nodes = *rc::gen::inRange<std::size_t>(1, 500);
    const std::size_t engine = *rc::gen::inRange<std::size_t>(0, 7000);
    const double slots = *rc::gen::inRange(1, 200);
    std::uint32_t sum = 0;
    for (std::size_t rank = 0; rank < nodes; ++rank) {
        SlotShare share;
        share.update({slots, slots, 0, static_cast<std::uint32_t>(nodes), 1, true});
        sum += share.usable(slotRounding(rank, nodes, engine));
    }
    RC_ASSERT(sum >= slots - 1);
    RC_ASSERT(sum <= slots + 1);
}

TEST(SlotShare, TreatsTheReportingPeersAsASampleOfAll)
{
    EXPECT_EQ(estimateWaitingNodes(0, 0, true, 9), 9U);
    EXPECT_EQ(estimateWaitingNodes(0, 4, true, 9), 1U);
    EXPECT_EQ(estimateWaitingNodes(2, 4, true, 9), 5U);
    EXPECT_EQ(estimateWaitingNodes(0, 4, false, 9), 1U);
}

// A node used a whole engine while the others were idle. When they become busy it has to release
// slots, or their requests are refused although they stay within their shares.
TEST(SlotShare, ReleasesTheExcessOverItsShareOnceTheEngineIsFull)
{
    SlotShare share;
    share.update({16, 0, 0, 4, 1, true});
    EXPECT_EQ(share.usable(0), 16U);
    for (int report = 0; report < 40; ++report) {
        const double own = share.usable(0);
        share.update({16, 16, own, 4, 4, true});
    }
    EXPECT_EQ(share.usable(0), 4U);
}

// Two reports arrive while requests are in flight that the engine had not counted. Counted both as
// free and as used, their slots would be assigned twice and the engine overfilled.
TEST(SlotShare, DoesNotCountNewRequestsAsFreeSlots)
{
    SlotShare share;
    share.update({16, 0, 0, 2, 1, true});
    share.update({16, 0, 12, 2, 1, true});
    EXPECT_LE(share.usable(0), 16U);
}

} // namespace
} // namespace vanilladyke
