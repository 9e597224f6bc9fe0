#include "vanilladyke/traffic/exchange_fixture.hpp"

/// Callers that close their connections before they have an answer.
namespace vanilladyke {
namespace {

ScriptedAnswer hangs(const ReceivedRequest & /*received*/)
{
    return {"", NextAction::Hang};
}

class CallerLeavesTest : public ExchangeTest
{
protected:
    void leave() { m_caller.reset(); }

    /// From now on the server gets requests with a place only. @param onAsk is called at each ask
    void askForPlaces(std::function<void()> onAsk)
    {
        constexpr double Rejections = 4;
        static_cast<void>(
                m_state.tracker.brittleObserved(EngineId("e1"), Rejections, MonotonicClock::now()));
        m_state.askPlace = [this, onAsk = std::move(onAsk)](
                                   const PlaceQuery &) -> asio::awaitable<PlaceReply> {
            ++m_places;
            onAsk();
            PlaceReply reply;
            reply.isGranted = true;
            co_return reply;
        };
    }

    void runFor(Duration span)
    {
        const TimePoint until = MonotonicClock::now() + span;
        while (MonotonicClock::now() < until) {
            m_context.run_one_until(until);
        }
    }

    [[nodiscard]] int leftCallers() const
    {
        return static_cast<int>(m_state.metrics.counter("requests_total{outcome=\"caller_left\"}"));
    }

    int m_places = 0; ///< that were asked for
};

// A node that is behind reads a request whose caller gave up meanwhile. The close lies behind the
// request, and an idle connection to a server takes the request in the same turn.
TEST_F(CallerLeavesTest, ARequestReadAfterItsCallerHasLeftIsNotSent)
{
    auto &backend = addBackend(good);
    EXPECT_EQ(ask("1"), 200);
    connect();
    send(request("2"));
    leave();
    runUntil([this] { return leftCallers() == 1; });
    EXPECT_EQ(backend.received.size(), 1U);
    EXPECT_EQ(ask("3"), 200);
    EXPECT_EQ(backend.received.size(), 2U);
    EXPECT_EQ(backend.received[1].connection, 1); // the unused connection went back
}

// The caller gives up while its request waits for a place at an engine.
TEST_F(CallerLeavesTest, ARequestWhoseCallerLeavesDuringAWaitIsNotSent)
{
    auto &backend = addBackend(good);
    EXPECT_EQ(ask("1"), 200);
    askForPlaces([this] { leave(); });
    connect();
    send(request("2"));
    runUntil([this] { return leftCallers() == 1; });
    EXPECT_EQ(m_places, 1);
    EXPECT_EQ(backend.received.size(), 1U);
}

// A line end behind a request, as some callers send it, hides the end of the connection: the server
// works on for a caller that has left.
TEST_F(CallerLeavesTest, ACallerIsSeenToLeaveWithBytesBehindItsRequest)
{
    auto &backend = addBackend(hangs);
    connect();
    send(request("1") + "\r\n");
    runUntil([&] { return backend.received.size() == 1; });
    leave();
    runUntil([&] { return backend.closedByPeer == 1; });
    EXPECT_EQ(leftCallers(), 1);
}

// The same with bytes that come after the request was read.
TEST_F(CallerLeavesTest, ACallerIsSeenToLeaveWithBytesThatCameAfterItsRequest)
{
    auto &backend = addBackend(hangs);
    connect();
    send(request("1"));
    runUntil([&] { return backend.received.size() == 1; });
    send(request("2"));
    runFor(milliseconds(300));
    EXPECT_EQ(backend.closedByPeer, 0);
    leave();
    runUntil([&] { return backend.closedByPeer == 1; });
    EXPECT_EQ(leftCallers(), 1);
    EXPECT_EQ(backend.received.size(), 1U);
}

// The second of two requests on one connection is served although a check for the close of the
// connection was pending when the first one ended.
TEST_F(CallerLeavesTest, ARequestBehindAnotherOneIsServed)
{
    auto &backend = addBackend(good);
    connect();
    send(request("1") + request("2"));
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(backend.received.size(), 2U);
}

// A link holds back what was written to a server. Were the connection closed in order, the kernel
// would deliver the request when the link recovers, long after the caller has left.
TEST_F(CallerLeavesTest, ATryThatIsEndedResetsItsConnection)
{
    bool isReset = false;
    auto &backend = addBackend(hangs);
    backend.onPeerEnd = [&isReset](const ErrorCode &error) {
        isReset = error == asio::error::connection_reset;
    };
    connect();
    send(request("1"));
    runUntil([&] { return backend.received.size() == 1; });
    leave();
    runUntil([&] { return backend.closedByPeer == 1; });
    EXPECT_TRUE(isReset);
}

} // namespace
} // namespace vanilladyke
