#include "vanilladyke/gateway/sse_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace vanilladyke {
namespace {

std::vector<SseEvent> drain(SseParser &parser)
{
    std::vector<SseEvent> events;
    while (auto event = parser.next()) {
        events.push_back(std::move(*event));
    }
    return events;
}

TEST(SseParser, ReadsBothLineEndsCommentsAndSeveralDataLines)
{
    SseParser parser;
    parser.feed(": waiting\n\nid: a:1\ndata: one\n\nid:a:2\r\ndata:two\r\ndata: more\r\n\r\n");
    const std::vector<SseEvent> events = drain(parser);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].id, "a:1");
    EXPECT_EQ(events[0].data, "one");
    EXPECT_EQ(events[1].id, "a:2");
    EXPECT_EQ(events[1].data, "two\nmore");
    EXPECT_EQ(parser.pending(), 0U);
}

// The network splits a stream anywhere, even inside a line end. The events must be the same, or
// callers would occasionally miss tokens.
RC_GTEST_PROP(SseParser, ReadsTheSameHoweverTheBytesAreCut, (const std::vector<std::uint8_t> &cuts))
{
    std::string text;
    for (int i = 0; i < 20; ++i) {
        text += "id: a:" + std::to_string(i) + "\r\ndata: token " + std::to_string(i) + "\r\n\r\n";
    }
    SseParser parser;
    std::vector<SseEvent> events;
    std::string_view left = text;
    for (std::size_t i = 0; !left.empty(); ++i) {
        const std::size_t size = i < cuts.size() ? cuts[i] % 40 : left.size();
        parser.feed(left.substr(0, size));
        left.remove_prefix(std::min(size, left.size()));
        for (SseEvent &event : drain(parser)) {
            events.push_back(std::move(event));
        }
    }
    RC_ASSERT(events.size() == 20U);
    for (int i = 0; i < 20; ++i) {
        RC_ASSERT(events[i].id == "a:" + std::to_string(i));
        RC_ASSERT(events[i].data == "token " + std::to_string(i));
    }
}

// A faulty engine sends arbitrary bytes. The parser must neither crash nor buffer more than it was
// fed.
RC_GTEST_PROP(SseParser, TakesAnyBytes, (const std::vector<std::string> &chunks))
{
    SseParser parser;
    std::size_t fed = 0;
    for (const std::string &chunk : chunks) {
        parser.feed(chunk);
        fed += chunk.size();
        for (const SseEvent &event : drain(parser)) {
            RC_ASSERT(event.data.size() + event.id.size() <= fed);
        }
    }
    RC_ASSERT(parser.pending() <= fed);
}

} // namespace
} // namespace vanilladyke
