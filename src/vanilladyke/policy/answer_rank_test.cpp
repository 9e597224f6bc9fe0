#include "vanilladyke/policy/answer_rank.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

// Guards against an error of one server that ends the request at another one, and against a caller
// that waits for a second server to reject what every server rejects.
TEST(AnswerRank, OnlyErrorsThatDependOnTheServerLeaveRoomForAnother)
{
    for (const int status : {200, 204, 304, 400, 401, 403, 413, 422}) {
        EXPECT_EQ(rankOf(status), AnswerRank::Final) << status;
    }
    for (const int status : {404, 408, 410, 429}) {
        EXPECT_EQ(rankOf(status), AnswerRank::Provisional) << status;
    }
    for (const int status : {500, 502, 503, 504}) {
        EXPECT_EQ(rankOf(status), AnswerRank::Failed) << status;
    }
}

} // namespace
} // namespace vanilladyke
