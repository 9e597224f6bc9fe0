#include "vanilladyke/policy/request_timeline.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

LogLine at(const std::string &time, const std::string &rest)
{
    const auto line =
            parseLogLine("   3.25 front-1 time=2026-08-06T09:29:" + time + "Z level=INFO " + rest);
    EXPECT_TRUE(line) << rest;
    return line.value_or(LogLine());
}

TEST(RequestTimeline, ParsesALogLine)
{
    const LogLine line =
            at("06.039", "node=n1 event=request id=a1 reason=\"no such \\\"x\\\"\" ms=3.5");
    EXPECT_EQ(line.node, "n1");
    EXPECT_EQ(line.event, "request");
    EXPECT_EQ(line.fields.at("reason"), "no such \"x\"");
    EXPECT_EQ(line.fields.at("ms"), "3.5");
    EXPECT_FALSE(parseLogLine("something else"));
    EXPECT_FALSE(parseLogLine("time=yesterday event=start"));
    EXPECT_FALSE(parseLogLine("time=2026-08-06T09:29:06.039Z a=\"unclosed"));
}

// Guards against a timeline without the cause of a refusal, which is in lines without the request's
// id, and against unrelated lines in it.
TEST(RequestTimeline, ListsRelatedLinesOfTheNodeAndNoOthers)
{
    const std::vector<LogLine> lines{
            at("07.000", "node=n1 event=request id=a1 backend=none outcome=not_ready"),
            at("01.000", "node=n1 event=store_lost proof_age_ms=3000"),
            at("01.500", "node=n2 event=store_lost proof_age_ms=3000"),
            at("06.500", "node=n1 event=request id=other outcome=not_ready"),
            at("09.000", "node=n1 event=store_regained"),
    };
    const RequestTimeline timeline = buildTimeline(lines, "a1");
    ASSERT_EQ(timeline.own.size(), 1U);
    ASSERT_EQ(timeline.context.size(), 1U);
    EXPECT_EQ(timeline.context[0].event, "store_lost");
    EXPECT_EQ(timeline.context[0].node, "n1");
    EXPECT_NE(timeline.verdict.find("proof_age_ms"), std::string::npos);
}

TEST(RequestTimeline, ListsRelatedLinesOfTheServersThatWereTried)
{
    const std::vector<LogLine> lines{
            at("05.200", "node=n1 event=request id=a1 backend=e2 outcome=outcome_unknown"),
            at("05.100", "node=n1 event=try_failed id=a1 backend=e1 end=not_executed"),
            at("04.000", "node=n9 event=weights_order backend=e1 version=2"),
            at("04.500", "node=n9 event=weights_order backend=e3 version=2"),
            at("04.600", "node=n1 event=try_failed id=b2 backend=e1 end=lost"),
    };
    const RequestTimeline timeline = buildTimeline(lines, "a1");
    ASSERT_EQ(timeline.own.size(), 2U);
    EXPECT_EQ(timeline.own[0].event, "try_failed") << "ordered by time";
    ASSERT_EQ(timeline.context.size(), 1U);
    EXPECT_EQ(timeline.context[0].fields.at("backend"), "e1");
    EXPECT_NE(timeline.verdict.find("nobody knows"), std::string::npos);
}

TEST(RequestTimeline, ReportsMissingLines)
{
    EXPECT_TRUE(buildTimeline({}, "a1").own.empty());
    const std::vector<LogLine> cut{at("05.100", "node=n1 event=try_failed id=a1 backend=e1")};
    EXPECT_NE(buildTimeline(cut, "a1").verdict.find("missing"), std::string::npos);
}

} // namespace
} // namespace vanilladyke
