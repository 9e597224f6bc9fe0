#include "vanilladyke/traffic/held_answer_fixture.hpp"

namespace vanilladyke {
namespace {

// Guards against leaving a slow server for one that refuses.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServerRefuses)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against leaving a slow server for one that refuses while a third one has room.
TEST_F(HeldAnswerTest, ASlowAnswerIsReplacedByTheThirdServerIfTheSecondRefuses)
{
    setSlowSafe(3);
    addBackend(heldUntilLeft());
    addBackend(refused);
    addBackend(good);
    EXPECT_EQ(ask("1"), 200);
}

// Guards against leaving a slow server for one that cannot be reached.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServerIsUnreachable)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(good);
    Tcp::acceptor closed(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_entries[1].endpoint = {"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    m_state.tracker.setBackends(m_entries);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against leaving a slow server for one whose connection breaks.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServersConnectionBreaks)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(reset);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against leaving a slow server for one that is even slower.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServerStaysSilent)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(silent);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against leaving a slow server for one that has no capacity any more.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServerLosesItsCapacity)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(good);
    whenLeavingFirst([this] { m_state.tracker.exclude(EngineId("e2"), MonotonicClock::now()); });
    EXPECT_EQ(ask("1"), 200);
}

// Guards against leaving a slow server for one that leaves the list in the same moment.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOtherServerLeavesTheList)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(good);
    whenLeavingFirst([this] { m_state.tracker.setBackends({m_entries[0]}); });
    EXPECT_EQ(ask("1"), 200);
}

// Guards against leaving a slow server with the last retry, which a refusal then uses up.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotLostIfTheOnlyRetryIsRefused)
{
    setSlowSafe(3);
    allowOneRetry();
    addBackend(heldUntilLeft());
    addBackend(refused);
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against withdrawing a request that may run once only: it cannot be sent elsewhere.
TEST_F(HeldAnswerTest, AnUnsafeRequestIsNotWithdrawnWithoutAReplacement)
{
    setRoute(RequestKind::Unsafe, false, Ample);
    addBackend(heldUntilLeft());
    addBackend(good);
    setWeights({1, 1});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against withdrawing a request for a server that refuses.
TEST_F(HeldAnswerTest, AWithdrawnRequestIsNotLostIfTheOtherServerRefuses)
{
    setRoute(RequestKind::Safe, false, Ample);
    addBackend(heldUntilLeft());
    addBackend(refused);
    setWeights({1, 2});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against withdrawing a request from expiring weights before another server was asked: that
// one refuses, and the first server begins in time after all.
TEST_F(HeldAnswerTest, AnotherServerIsAskedBeforeARequestIsWithdrawn)
{
    setRoute(RequestKind::Safe, false, Ample);
    addBackend([this](const ReceivedRequest &received) {
        const auto isHedged = [this] { return !m_backends[1]->received.empty(); };
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{answer(received.fields.at("Id"), "held"), isHedged}}};
    });
    addBackend(refused);
    setWeights({1, 2});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against a request that goes on at a silent server after another one has begun to answer:
// the work would be done twice.
TEST_F(HeldAnswerTest, ASilentServerIsLeftAsSoonAsAnotherOneAnswers)
{
    setSlowStream();
    auto &first = addBackend(silent);
    addBackend([this](const ReceivedRequest &received) {
        const auto hasLeft = [this] { return hasLeftFirst(); };
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::KeepOpen,
                              {},
                              {{eventChunk(2) + "0\r\n\r\n", hasLeft}}};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
    runUntil([&] { return first.closedByPeer == 1; });
}

// Guards against a reported "not run" while one of two servers may still run the request.
TEST_F(HeldAnswerTest, ARefusalOfTheSecondServerDoesNotProveThatNothingRan)
{
    setSlowSafe(2, milliseconds(700));
    addBackend(silent);
    addBackend(refused);
    EXPECT_EQ(ask("1"), 504);
    EXPECT_NE(m_body.find(R"("ran":"unknown")"), std::string::npos);
}

// Guards against a second server that goes on for a caller that has left.
TEST_F(HeldAnswerTest, ADisconnectOfTheCallerEndsBothTries)
{
    setSlowStream();
    auto &first = addBackend(silent);
    auto &second = addBackend(silent);
    connect();
    send(request("1"));
    runUntil([&] { return second.received.size() == 1; });
    m_caller->close();
    runUntil([&] { return first.closedByPeer == 1 && second.closedByPeer == 1; });
}

// Guards against withdrawing an answer that has begun to arrive.
TEST_F(HeldAnswerTest, AnAnswerThatHasBegunIsNotWithdrawn)
{
    setRoute(RequestKind::Unsafe, false, Ample);
    addBackend([this](const ReceivedRequest &received) {
        const std::string bytes = answer(received.fields.at("Id"), "held");
        const std::size_t half = bytes.size() - 2;
        return ScriptedAnswer{bytes.substr(0, half),
                              NextAction::KeepOpen,
                              {},
                              {{bytes.substr(half), leavesOr(1)}}};
    });
    setWeights({1});
    announce();
    EXPECT_EQ(askModel("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against discarding bytes that arrived in the iteration of the event loop that gives up.
TEST_F(HeldAnswerTest, BytesThatArriveWithTheDecisionToGiveUpAreDelivered)
{
    setSlowStream();
    addBackend([](const ReceivedRequest &received) {
        const TimePoint sent = MonotonicClock::now();
        const auto nearlyDue = [sent] { return MonotonicClock::now() - sent >= milliseconds(430); };
        const auto blocksLoopBeyondDue = [sent] {
            while (MonotonicClock::now() - sent < milliseconds(500)) {
            }
            return true;
        };
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{streamHead(received.fields.at("Id")) + eventChunk(1), nearlyDue},
                               {eventChunk(2) + "0\r\n\r\n", blocksLoopBeyondDue}}};
    });
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a hedge that is started while the request waits for a server: its answer would lie
// there while a silent server is asked.
TEST_F(HeldAnswerTest, AnAnswerThatBeginsWhileTheRequestWaitsForAServerIsForwarded)
{
    setSlowStream(3);
    std::optional<TimePoint> interrupted;
    addBackend([this, &interrupted](const ReceivedRequest &received) {
        if (received.fields.contains("Resume")) {
            return refused(received);
        }
        interrupted = MonotonicClock::now();
        for (int i = 0; i < 4; ++i) {
            m_state.tracker.exclude(EngineId("e2"), *interrupted);
        }
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    addBackend(silent);
    ScriptedBackend third(m_context, [](const ReceivedRequest &received) {
        const TimePoint end = MonotonicClock::now() + milliseconds(100);
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2),
                              NextAction::KeepOpen,
                              {},
                              {{"0\r\n\r\n", [end] { return MonotonicClock::now() >= end; }}}};
    });
    m_state.ticker.onStep = [&](TimePoint now) {
        if (m_entries.size() == 2 && interrupted && now - *interrupted > milliseconds(500)) {
            m_entries.push_back(m_entries[1]);
            m_entries[2].id = EngineId("e3");
            m_entries[2].endpoint = third.endpoint();
            m_state.tracker.setBackends(m_entries);
        }
    };
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
    m_state.ticker.onStep = nullptr;
}

// Guards against an unsafe request that is sent to two servers: a hedge of a try that has ended by
// a refusal, and the next try.
TEST_F(HeldAnswerTest, AnUnsafeRequestIsNotSentToTwoServersAfterARefusal)
{
    setRoute(RequestKind::Unsafe, false, std::chrono::seconds(4), std::chrono::seconds(6));
    std::optional<TimePoint> refusedAt;
    addBackend([&refusedAt](const ReceivedRequest &received) {
        const TimePoint asked = MonotonicClock::now();
        const auto isDue = [&refusedAt, asked] {
            refusedAt = MonotonicClock::now();
            return *refusedAt - asked >= milliseconds(500);
        };
        return ScriptedAnswer{"", NextAction::KeepOpen, {}, {{refused(received).bytes, isDue}}};
    });
    auto &second = addBackend(silent);
    ScriptedBackend third(m_context, silent);
    setWeights({1, 2});
    announce();
    for (int i = 0; i < 4; ++i) {
        m_state.tracker.exclude(EngineId("e2"), MonotonicClock::now());
    }
    m_state.ticker.onStep = [&](TimePoint now) {
        if (m_entries.size() == 2 && refusedAt && now - *refusedAt > milliseconds(20)) {
            m_entries.push_back(m_entries[1]);
            m_entries[2].id = EngineId("e3");
            m_entries[2].endpoint = third.endpoint();
            m_state.tracker.setBackends(m_entries);
        }
    };
    EXPECT_EQ(askModel("1"), 504);
    EXPECT_EQ(second.received.size() + third.received.size(), 1U);
    m_state.ticker.onStep = nullptr;
}

// Guards against giving up an answer of which a half has arrived.
TEST_F(HeldAnswerTest, AHalfReceivedAnswerIsNotLost)
{
    setSlowSafe();
    int asked = 0;
    addBackend([this, &asked](const ReceivedRequest &received) {
        if (++asked > 1) {
            return refused(received);
        }
        const std::string bytes = answer(received.fields.at("Id"), "held");
        const std::size_t half = bytes.size() - 2;
        return ScriptedAnswer{bytes.substr(0, half),
                              NextAction::KeepOpen,
                              {},
                              {{bytes.substr(half), leavesOr(1)}}};
    });
    addBackend(refused);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against ending a request when its server, route or idle connections leave meanwhile.
TEST_F(HeldAnswerTest, AChangeOfServersAndConfigurationDoesNotEndAnAnswer)
{
    setRoute(RequestKind::Stream, true);
    auto &first = addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")),
                              NextAction::KeepOpen,
                              {},
                              {{eventChunk(1), leavesOr(1, milliseconds(100))},
                               {eventChunk(2) + "0\r\n\r\n", leavesOr(1, milliseconds(250))}}};
    });
    const auto change = [this] {
        m_state.tracker.setBackends({});
        m_state.table = std::make_shared<const RouteTable>(RoutingConfig());
        m_state.pool.closeStale([](const EngineId &) { return false; }, MonotonicClock::now());
    };
    connect();
    send(request("1"));
    runUntil([&] { return first.received.size() == 1; });
    change();
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against ending a running answer because the caller already sends its next request.
TEST_F(HeldAnswerTest, APipelinedRequestDoesNotEndTheRunningAnswer)
{
    setRoute(RequestKind::Stream, true);
    auto &first = addBackend(heldUntilLeft(1, milliseconds(150)));
    connect();
    send(request("1"));
    runUntil([&] { return first.received.size() == 1; });
    send(request("2"));
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(m_body, TwoEvents);
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against leaving a slow server for the error of another one.
TEST_F(HeldAnswerTest, ASlowAnswerIsNotReplacedByAnErrorOfTheOtherServer)
{
    setSlowSafe();
    addBackend(heldUntilLeft());
    addBackend(errs(404));
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against losing a server's error while the other server breaks off: it is the answer then.
TEST_F(HeldAnswerTest, AnErrorIsForwardedIfTheOtherServerBreaksOff)
{
    setSlowSafe();
    addBackend([this](const ReceivedRequest &) {
        const auto isHedged = [this] { return m_backends[1]->completed == 1; };
        return ScriptedAnswer{"", NextAction::Reset, {}, {{"", isHedged}}};
    });
    addBackend(errs(404));
    EXPECT_EQ(ask("1"), 404);
    EXPECT_EQ(m_body, "lacking");
}

// Guards against an error that ends the request while a second server is about to answer it.
TEST_F(HeldAnswerTest, AnAnswerIsNotReplacedByAnErrorOfTheSlowServer)
{
    setSlowSafe();
    addBackend([this](const ReceivedRequest &received) {
        const auto isHedged = [this] { return !m_backends[1]->received.empty(); };
        const std::string bytes = answer(received.fields.at("Id"), "lacking", 404);
        return ScriptedAnswer{"", NextAction::KeepOpen, {}, {{bytes, isHedged}}};
    });
    addBackend(heldUntilLeft());
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

// Guards against holding back an error that concerns the request itself until the deadline.
TEST_F(HeldAnswerTest, AnErrorAboutTheRequestIsForwardedAtOnce)
{
    setSlowSafe();
    auto &first = addBackend(silent);
    addBackend(errs(422));
    EXPECT_EQ(ask("1"), 422);
    runUntil([&] { return first.closedByPeer == 1; });
}

// Guards against withdrawing a request early from expiring weights because another server was
// asked: that one refuses, and the first server begins in time.
TEST_F(HeldAnswerTest, ARequestIsNotWithdrawnEarlyForAServerThatHasNotAnswered)
{
    setRoute(RequestKind::Safe, false, Ample);
    auto &first = addBackend([this, asked = 0](const ReceivedRequest &received) mutable {
        return ++asked > 1 ? refused(received) : heldUntilLeft(1, milliseconds(3000))(received);
    });
    auto &second = addBackend([this](const ReceivedRequest &received) {
        return ScriptedAnswer{
                "", NextAction::KeepOpen, {}, {{refused(received).bytes, leavesOr(1)}}};
    });
    setWeights({1, 1});
    connect();
    send(requestForModel("1"));
    runUntil([&] { return first.received.size() == 1; });
    setWeights({1, 2});
    announce(milliseconds(1600));
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(m_body, "held");
    EXPECT_FALSE(second.received.empty());
}

// Guards against discarding an answer that arrived in the iteration of the event loop in which its
// request is quarantined.
TEST_F(HeldAnswerTest, AnAnswerThatArrivesWithTheQuarantineIsDelivered)
{
    setRoute(RequestKind::Unsafe, false, Ample);
    m_state.digester.setKey("fleet");
    const WorkDigest digest = m_state.digester.digest({"c", "POST", "h", "/a/x", "hi"});
    const EngineTermination end{1, MonotonicClock::now(), true};
    m_state.quarantine.recordTermination(digest, hashOfName("c"), end);
    addBackend([this, digest](const ReceivedRequest &received) {
        const auto isQuarantined = [this, digest] {
            Exchange::withdrawQuarantined(m_state, digest);
            return true;
        };
        const std::string bytes = answer(received.fields.at("Id"), "held");
        return ScriptedAnswer{bytes, NextAction::KeepOpen, {}, {{"", isQuarantined}}};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "held");
}

} // namespace
} // namespace vanilladyke
