#include "vanilladyke/traffic/held_answer_fixture.hpp"

namespace vanilladyke {
namespace {

// Guards against leaving a slow stream for a server that refuses.
TEST_F(HeldAnswerTest, ASlowStreamIsNotLostIfTheOtherServerRefuses)
{
    setSlowStream();
    addBackend(heldUntilLeft());
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a slow stream for a server that is even slower.
TEST_F(HeldAnswerTest, ASlowStreamIsNotLostIfTheOtherServerStaysSilent)
{
    setSlowStream();
    addBackend(heldUntilLeft());
    addBackend(silent);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a paused stream for servers that refuse, if its own server can resume it.
TEST_F(HeldAnswerTest, APausedStreamGoesOnIfTheOtherServerRefuses)
{
    setSlowStream();
    addBackend(pausesUntilLeft(true));
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a paused stream when no server, not even its own, accepts it again.
TEST_F(HeldAnswerTest, APausedStreamIsNotCutIfAllServersRefuseToResume)
{
    setSlowStream();
    addBackend(pausesUntilLeft(false));
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a paused stream for a server whose connection breaks.
TEST_F(HeldAnswerTest, APausedStreamIsNotCutIfTheOtherServersConnectionBreaks)
{
    setSlowStream();
    addBackend(pausesUntilLeft(true));
    addBackend(reset);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a paused stream for a server that stays silent.
TEST_F(HeldAnswerTest, APausedStreamIsNotCutIfTheOtherServerStaysSilent)
{
    setSlowStream();
    addBackend(pausesUntilLeft(true));
    addBackend(silent);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a paused stream with the last retry, which a refusal then uses up.
TEST_F(HeldAnswerTest, APausedStreamIsNotCutIfTheOnlyRetryIsRefused)
{
    setSlowStream();
    allowOneRetry();
    addBackend(pausesUntilLeft(true));
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against withdrawing a resumed stream that may not be sent to a further server.
TEST_F(HeldAnswerTest, AResumedStreamIsNotWithdrawnIfTheRouteAllowsNoFurtherServer)
{
    setRoute(RequestKind::Stream, true, Ample, std::chrono::seconds(2), 2);
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Close};
    });
    addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                                leavesOr(2)}}};
    });
    setWeights({1, 1});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against withdrawing a resumed stream if the retry budget allows no further retry.
TEST_F(HeldAnswerTest, AResumedStreamIsNotWithdrawnIfNoRetryIsLeft)
{
    setRoute(RequestKind::Stream, true, Ample, std::chrono::seconds(2), 3);
    allowOneRetry();
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Close};
    });
    addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                                leavesOr(2)}}};
    });
    setWeights({1, 1});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against ending a paused stream whose events have no ids in favour of another server, which
// could not resume it.
TEST_F(HeldAnswerTest, APausedStreamWithoutEventIdsGoesOn)
{
    setSlowStream();
    const std::string event = "9\r\ndata: d\n\n\r\n";
    addBackend([this, event](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + event,
                              NextAction::KeepOpen,
                              {},
                              {{event + "0\r\n\r\n", leavesOr(1, milliseconds(2000))}}};
    });
    addBackend(good);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "data: d\n\ndata: d\n\n");
}

// Guards against cutting a resumed stream whose event arrived in the iteration of the event loop
// that withdraws it.
TEST_F(HeldAnswerTest, AnEventThatArrivesWithTheWithdrawalDoesNotEndTheStream)
{
    setRoute(RequestKind::Stream, true, Ample, std::chrono::seconds(2), 2);
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Close};
    });
    TimePoint announced;
    addBackend([this, &announced](const ReceivedRequest &received) {
        const auto nearlyDue = [&announced] {
            return MonotonicClock::now() - announced >= milliseconds(780);
        };
        const auto blocksLoopBeyondDue = [&announced] {
            while (MonotonicClock::now() - announced < milliseconds(850)) {
            }
            return true;
        };
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(2), nearlyDue},
                               {"", blocksLoopBeyondDue},
                               {"0\r\n\r\n", leavesOr(2, milliseconds(1200))}}};
    });
    setWeights({1, 1});
    announced = MonotonicClock::now();
    announce();
    m_state.settings.withdrawMargin = m_state.settings.expiryHedgeMargin - milliseconds(400);
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against cutting an interrupted stream long before its deadline while all servers are busy.
TEST_F(HeldAnswerTest, AnInterruptedStreamWaitsForAServerThatHasRoomBeforeTheDeadline)
{
    setSlowStream();
    std::optional<TimePoint> interrupted;
    const auto busy = [&interrupted](const ReceivedRequest &received) {
        if (!received.fields.contains("Resume")) {
            interrupted = MonotonicClock::now();
            return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                                  NextAction::Reset};
        }
        const bool hasRoom = MonotonicClock::now() - *interrupted > milliseconds(1100);
        return hasRoom ? ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2)
                                                + "0\r\n\r\n",
                                        NextAction::KeepOpen}
                       : refused(received);
    };
    addBackend(busy);
    addBackend(busy);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
    EXPECT_LT(MonotonicClock::now() - *interrupted, Ample / 2) << "it waited though there was room";
}

// Guards against a stream that is never hedged, since the line end of its last chunk, which belongs
// to no event, stays unread.
TEST_F(HeldAnswerTest, AStreamThatIsSilentAfterAWholeChunkIsHedged)
{
    setSlowStream();
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Hang};
    });
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                              NextAction::KeepOpen};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a second server that is left for bytes of the first one that are no event: the
// first one breaks off, and the route allows no third one.
TEST_F(HeldAnswerTest, AHalfEventDoesNotEndTheOtherTry)
{
    setSlowStream();
    addBackend([this](const ReceivedRequest &received) {
        const auto isHedged = [this] { return !m_backends[1]->received.empty(); };
        std::string begin = streamHead(received.fields.at("Id")) + eventChunk(1);
        begin.resize(begin.size() - 2); // the line end of the chunk follows with the half event
        return ScriptedAnswer{begin, NextAction::Close, {}, {{"\r\n3\r\nid:\r\n", isHedged}}};
    });
    addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                                leavesOr(1)}}};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a second server that goes on for a request that has been answered: the end of the
// first server's stream carries no event.
TEST_F(HeldAnswerTest, TheEndOfAStreamEndsTheOtherTry)
{
    setSlowStream();
    addBackend([this](const ReceivedRequest &received) {
        const auto isHedged = [this] { return !m_backends[1]->received.empty(); };
        std::string begin = streamHead(received.fields.at("Id")) + eventChunk(1);
        begin.resize(begin.size() - 2); // the line end of the chunk follows with the last chunk
        return ScriptedAnswer{begin, NextAction::KeepOpen, {}, {{"\r\n0\r\n\r\n", isHedged}}};
    });
    auto &second = addBackend(silent);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\n");
    runUntil([&] { return second.closedByPeer == 1; });
    EXPECT_EQ(m_state.tracker.inFlight(EngineId("e2")), 0);
}

// Guards against giving up a stream whose head has arrived but no event yet.
TEST_F(HeldAnswerTest, AStreamWhoseHeadHasArrivedIsNotLost)
{
    setSlowStream();
    addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")),
                              NextAction::KeepOpen,
                              {},
                              {{eventChunk(1) + eventChunk(2) + "0\r\n\r\n", leavesOr(1)}}};
    });
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against cutting a started stream before the caller's deadline.
TEST_F(HeldAnswerTest, AStreamIsNotCutBeforeTheCallersDeadline)
{
    EXPECT_GE(timeUntilCut(milliseconds(300), milliseconds(600)), milliseconds(300));
}

// Guards against cutting a started stream before the route's timeout.
TEST_F(HeldAnswerTest, AStreamIsNotCutBeforeTheRoutesTimeout)
{
    EXPECT_GE(timeUntilCut(milliseconds(900), milliseconds(400)), milliseconds(400));
}

// Guards against applying the timers of idle connections and request heads to a running answer.
TEST_F(HeldAnswerTest, IdleAndHeaderTimersDoNotEndARunningAnswer)
{
    m_limits.idleTimeout = milliseconds(60);
    m_limits.headerTimeout = milliseconds(60);
    setRoute(RequestKind::Stream, true);
    addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")),
                              NextAction::KeepOpen,
                              {},
                              {{eventChunk(1), leavesOr(1, milliseconds(200))},
                               {eventChunk(2) + "0\r\n\r\n", leavesOr(1, milliseconds(400))}}};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a slow server of a stream for the error of another one.
TEST_F(HeldAnswerTest, ASlowStreamIsNotReplacedByAnErrorOfTheOtherServer)
{
    setSlowStream();
    addBackend(heldUntilLeft());
    addBackend(errs(410));
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a stream that ends because the server that took it over breaks off: the route
// allows no third server, and the one that was left goes on.
TEST_F(HeldAnswerTest, AStreamIsResumedAtAServerThatWasLeft)
{
    setSlowStream();
    addBackend([](const ReceivedRequest &received) {
        const std::string head = streamHead(received.fields.at("Id"));
        return received.fields.contains("Resume")
                       ? ScriptedAnswer{head + eventChunk(2) + "0\r\n\r\n", NextAction::KeepOpen}
                       : ScriptedAnswer{"", NextAction::Hang};
    });
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a stream that ends because the first server goes on, so that the second one is
// left, and then breaks off.
TEST_F(HeldAnswerTest, AStreamIsResumedAtTheSecondServerThatWasNotNeeded)
{
    setSlowStream();
    addBackend([this](const ReceivedRequest &received) {
        const auto isHedged = [this] { return !m_backends[1]->received.empty(); };
        return ScriptedAnswer{"",
                              NextAction::Reset,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(1), isHedged},
                               {"", leavesOr(2)}}};
    });
    addBackend([](const ReceivedRequest &received) {
        return received.fields.contains("Resume")
                       ? ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2)
                                                + "0\r\n\r\n",
                                        NextAction::KeepOpen}
                       : ScriptedAnswer{"", NextAction::Hang};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against asking a server again and again that breaks a stream off each time.
TEST_F(HeldAnswerTest, AStreamDoesNotReturnToServersThatBreakOff)
{
    setSlowStream();
    auto &first = addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{"", received.fields.contains("Resume") ? NextAction::Reset
                                                                     : NextAction::Hang};
    });
    auto &second = addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    EXPECT_EQ(ask("1"), 0);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\n");
    EXPECT_EQ(first.received.size(), 2U);
    EXPECT_EQ(second.received.size(), 1U);
}

// Guards against a stream that is cut long before its deadline because more servers refuse at once
// than a request may be sent to.
TEST_F(HeldAnswerTest, AnInterruptedStreamIsNotCutByTheNumberOfServersThatRefuse)
{
    setSlowStream();
    std::optional<TimePoint> interrupted;
    const auto busy = [&interrupted](const ReceivedRequest &received) {
        if (!received.fields.contains("Resume")) {
            interrupted = MonotonicClock::now();
            return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                                  NextAction::Reset};
        }
        const bool hasRoom = MonotonicClock::now() - *interrupted > milliseconds(400);
        return hasRoom ? ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2)
                                                + "0\r\n\r\n",
                                        NextAction::KeepOpen}
                       : refused(received);
    };
    for (int i = 0; i < 2 * MaxStreamSends; ++i) {
        addBackend(busy);
    }
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

} // namespace
} // namespace vanilladyke
