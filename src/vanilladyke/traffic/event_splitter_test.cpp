#include "vanilladyke/traffic/event_splitter.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(EventSplitter, BuffersAnIncompleteEvent)
{
    EventSplitter events;
    EXPECT_EQ(events.feed("id: 1\nda"), "");
    EXPECT_TRUE(events.hasPending());
    EXPECT_EQ(events.lastId(), "");
    EXPECT_EQ(events.feed("ta: x\n\nid: 2"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(events.lastId(), "1");
    EXPECT_EQ(events.takePending(), "id: 2");
    EXPECT_FALSE(events.hasPending());
}

TEST(EventSplitter, HandlesCarriageReturnsAndSeveralEventsAtOnce)
{
    EventSplitter events;
    EXPECT_EQ(events.feed("id: 1\r\ndata: x\r\n\r\nid:2\r\n\r\n"),
              "id: 1\r\ndata: x\r\n\r\nid:2\r\n\r\n");
    EXPECT_EQ(events.lastId(), "2");
}

TEST(EventSplitter, AnEventWithoutAnIdKeepsTheLastOne)
{
    EventSplitter events;
    static_cast<void>(events.feed("id: 7\ndata: id: 9\n\ndata: y\n\n"));
    EXPECT_EQ(events.lastId(), "7");
}

} // namespace
} // namespace vanilladyke
