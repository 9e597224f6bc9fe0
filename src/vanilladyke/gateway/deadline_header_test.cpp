#include "vanilladyke/gateway/deadline_header.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

constexpr WallTime Now{std::chrono::seconds(1'800'000'000)}; // 2027-01-15T08:00:00Z

TEST(DeadlineHeader, ReadsBothForms)
{
    EXPECT_EQ(parseDeadline("1800000000250", Now), Now + milliseconds(250));
    EXPECT_EQ(parseDeadline("2027-01-15T08:00:00Z", Now), Now);
    EXPECT_EQ(parseDeadline("2027-01-15T08:00:01.500Z", Now), Now + milliseconds(1500));
    EXPECT_EQ(parseDeadline("2027-01-15T16:00:00+08:00", Now), Now);
}

// A caller sends malformed text, or seconds instead of milliseconds. Accepting it would refuse the
// request as late or keep it for years; it must be rejected as invalid.
TEST(DeadlineHeader, RejectsTextThatIsNotATimeNearNow)
{
    for (const char *text :
         {"", "soon", "12 ", "1800000000", "99999999999999999999", "9223372036854775807",
          "-9223372036854775808", "2027-01-15", "2027-01-15T08:00:00", "2027-01-15T08:00:00Zx"}) {
        EXPECT_FALSE(parseDeadline(text, Now).has_value()) << text;
    }
}

RC_GTEST_PROP(DeadlineHeader, AnyTextIsReadOrRefused, (const std::string &text))
{
    const auto read = parseDeadline(text, Now);
    RC_ASSERT(!read || (*read - Now < std::chrono::hours(25)));
}

} // namespace
} // namespace vanilladyke
