#include "vanilladyke/policy/stream_guard.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace vanilladyke {
namespace {

// A connection delivers the answer of the previous exchange because an intermediary mixed them up.
// The caller would receive tokens of another customer.
TEST(StreamGuard, DropsFramesAndEndsOfAnotherAttempt)
{
    StreamGuard guard;
    guard.begin("a1");
    EXPECT_EQ(guard.check("a0", 1), FrameVerdict::Foreign);
    EXPECT_EQ(guard.checkEnd("a0", 0), FrameVerdict::Foreign);
    EXPECT_EQ(guard.check("a1", 1), FrameVerdict::Pass);
    guard.begin("a2");
    EXPECT_EQ(guard.check("a1", 2), FrameVerdict::Foreign);
    EXPECT_EQ(guard.check("a2", 2), FrameVerdict::Pass);
}

// The connection breaks, and the engine resends the last frames on the new one or omits some. The
// caller would receive tokens twice or miss some without an error.
TEST(StreamGuard, DropsDuplicatesAndReportsGaps)
{
    StreamGuard guard(5);
    guard.begin("a1");
    EXPECT_EQ(guard.check("a1", 5), FrameVerdict::Duplicate);
    EXPECT_EQ(guard.check("a1", 7), FrameVerdict::Gap);
    EXPECT_EQ(guard.check("a1", 6), FrameVerdict::Pass);
    EXPECT_EQ(guard.checkEnd("a1", 7), FrameVerdict::Gap);
    EXPECT_EQ(guard.checkEnd("a1", 6), FrameVerdict::Pass);
}

// Frames arrive in any order, duplicated and mixed with those of other attempts. The caller must
// receive 1, 2, 3 and so on of its own attempt.
RC_GTEST_PROP(StreamGuard, PassesOnlyConsecutiveOffsetsOfItsAttempt,
              (const std::vector<std::pair<bool, std::uint8_t>> &frames))
{
    StreamGuard guard;
    guard.begin("own");
    std::uint32_t expected = 1;
    for (const auto &[own, offset] : frames) {
        const std::uint32_t at = offset % 8;
        if (guard.check(own ? "own" : "other", at) == FrameVerdict::Pass) {
            RC_ASSERT(own);
            RC_ASSERT(at == expected);
            ++expected;
        }
    }
    RC_ASSERT(guard.offset() == expected - 1);
}

} // namespace
} // namespace vanilladyke
