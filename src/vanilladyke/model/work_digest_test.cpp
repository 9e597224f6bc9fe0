#include "vanilladyke/model/work_digest.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {

namespace {

// Copies under other ids and at other nodes have to be recognized; other work must not be taken for
// them.
TEST(WorkDigest, NamesTheWorkAndNothingElse)
{
    WorkDigester here;
    WorkDigester there;
    EXPECT_FALSE(here.isReady());
    here.setKey("key of the fleet");
    there.setKey("key of the fleet");
    const RequestWork work{"brand", "POST", "h.example", "/a/b", "body"};
    EXPECT_EQ(here.digest(work), there.digest(work));
    const RequestWork others[] = {{"other", "POST", "h.example", "/a/b", "body"},
                                  {"brand", "PUT", "h.example", "/a/b", "body"},
                                  {"brand", "POST", "g.example", "/a/b", "body"},
                                  {"brand", "POST", "h.example", "/a/c", "body"},
                                  {"brand", "POST", "h.example", "/a/b", "body2"},
                                  {"brand", "POST", "h.example", "/a/bb", "ody"}};
    for (const RequestWork &other : others) {
        EXPECT_NE(here.digest(work), here.digest(other));
    }
    there.setKey("key of another fleet");
    EXPECT_NE(here.digest(work), there.digest(work));
}

TEST(WorkDigest, IsReadAsItIsWritten)
{
    const WorkDigest digest{0x0123456789abcdefULL, 7};
    EXPECT_EQ(digest.str(), "0123456789abcdef0000000000000007");
    EXPECT_EQ(parseWorkDigest(digest.str()), digest);
    EXPECT_FALSE(parseWorkDigest("0123"));
    EXPECT_FALSE(parseWorkDigest("0123456789abcdef000000000000000x"));
}

} // namespace

} // namespace vanilladyke
