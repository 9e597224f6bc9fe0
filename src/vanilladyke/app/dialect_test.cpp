#include "platform/dialect.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

std::optional<Duration> restOf(int status, const std::vector<std::string> &values)
{
    HttpFields fields;
    for (const std::string &value : values) {
        fields.insert("Retry-After", value);
    }
    return platform::makeDialect().parseAnswer(status, fields).rest;
}

TEST(Dialect, ReadsTheRestThatAServerAsksFor)
{
    EXPECT_EQ(restOf(503, {"3"}), milliseconds(3000));
    EXPECT_EQ(restOf(503, {"0.25"}), milliseconds(250));
    EXPECT_EQ(restOf(503, {"1", "4", "2"}), milliseconds(4000));
    EXPECT_EQ(restOf(503, {"1e300"}), std::chrono::hours(24));
}

// Guards against a value that is no span being taken for none at all or for for ever.
TEST(Dialect, IgnoresARestThatIsNoNumberOfSeconds)
{
    for (const char *value :
         {"", "-1", "soon", "nan", "inf", "3 s", "Thu, 03 Dec 2026 20:40:22 GMT"}) {
        EXPECT_FALSE(restOf(503, {value})) << value;
    }
    EXPECT_FALSE(restOf(200, {"3"}));
    EXPECT_FALSE(restOf(503, {}));
}

// A server names several content codings. Guards against an encoded body that is taken for its own.
TEST(Dialect, EachContentCodingOfAnAnswerCounts)
{
    const auto isEncoded = [](const std::vector<std::string> &codings) {
        HttpFields fields;
        for (const std::string &coding : codings) {
            fields.insert("Content-Encoding", coding);
        }
        return platform::makeDialect().parseAnswer(200, fields).isEncoded;
    };
    EXPECT_FALSE(isEncoded({}));
    EXPECT_FALSE(isEncoded({"identity"}));
    EXPECT_TRUE(isEncoded({"gzip"}));
    EXPECT_TRUE(isEncoded({"identity", "gzip"}));
    EXPECT_TRUE(isEncoded({"gzip", "identity"}));
}

TEST(Dialect, ReadsLeavingAndBrittleness)
{
    HttpFields fields;
    fields.insert("Server-Leaving", "1");
    fields.insert("Server-Brittle", "4");
    const AnswerHead head = platform::makeDialect().parseAnswer(200, fields);
    EXPECT_TRUE(head.isLeaving);
    EXPECT_EQ(head.brittleRejections, 4);
    EXPECT_FALSE(platform::makeDialect().parseAnswer(200, {}).isLeaving);
}

} // namespace
} // namespace vanilladyke
