#include "vanilladyke/traffic/held_answer_fixture.hpp"
#include "vanilladyke/traffic/relay_seal.hpp"

namespace vanilladyke {
namespace {

/// A node that does not reach the servers of its service, and another node that does. Both run on
/// the test's thread; the scripted servers belong to the other node.
class RelayTest : public HeldAnswerTest
{
protected:
    RelayTest()
        : m_other(m_context, testDialect(), settings(), 2)
        , m_relayAcceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        m_state.digester.setKey("fleet");
        m_other.digester.setKey("fleet");
        m_other.configAge = [] { return Duration{}; };
        m_other.retryBudget = retryBudgetInUse({0.2, 1000, std::chrono::seconds(10)});
        m_other.ticker.start();
        asio::co_spawn(m_context, acceptRelayed(), asio::detached);
    }

    asio::awaitable<void> acceptRelayed()
    {
        for (;;) {
            ErrorCode error;
            Tcp::socket socket(m_context);
            co_await m_relayAcceptor.async_accept(socket, redirectError(error));
            if (error) {
                co_return;
            }
            m_relaySession =
                    std::make_shared<CallerSession>(m_other, std::move(socket), SessionKind::Relay);
            m_relaySession->start();
        }
    }

    /// Gives the other node the servers, and this node as many that refuse connections.
    void cutOff(RequestKind kind, bool isResumable = false,
                Duration timeout = std::chrono::seconds(5))
    {
        setRoute(kind, isResumable, timeout);
        m_other.table = m_state.table;
        m_other.tracker.setBackends(m_entries);
        asio::io_context unused;
        Tcp::acceptor closed(unused, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const std::uint16_t port = closed.local_endpoint().port();
        closed.close();
        std::vector<BackendEntry> unreachable = m_entries;
        for (BackendEntry &entry : unreachable) {
            entry.endpoint.port = port;
        }
        m_state.tracker.setBackends(unreachable);
        for (int i = 0; i < 2; ++i) {
            for (const BackendEntry &entry : unreachable) {
                m_state.pool.onConnectEnded(entry.id, asio::error::connection_refused, Duration{});
            }
        }
        hearOfOther({});
    }

    /// Gives the other node the last server, and this node all others.
    void shareServers()
    {
        m_other.table = m_state.table;
        m_other.tracker.setBackends({m_entries.back()});
        m_entries.pop_back();
        m_state.tracker.setBackends(m_entries);
        m_state.reach.onUnreachedChanged = [this] {
            Exchange::hedgeCutOff(m_state, MonotonicClock::now());
        };
    }

    /// Lets this node believe that it reaches no server, or that it reaches all of them.
    void believeCutOff(bool isCutOff)
    {
        const ErrorCode result =
                isCutOff ? ErrorCode(asio::error::connection_refused) : ErrorCode();
        for (const BackendEntry &entry : m_entries) {
            m_state.pool.onConnectEnded(entry.id, result, Duration{});
        }
    }

    /// Sends a request; once the server has it, this node takes itself for cut off. @return the
    /// status
    int askAndBelieveCutOff(const ScriptedBackend &server)
    {
        hearOfOther({});
        connect();
        send(request("1"));
        runUntil([&] { return server.received.size() == 1; });
        believeCutOff(true);
        return receive();
    }

    void hearOfOther(std::vector<std::uint64_t> unreached)
    {
        m_state.relays.nodeSeen(2, hashOfName("here"), relayEndpoint(), std::move(unreached),
                                MonotonicClock::now());
    }

    [[nodiscard]] Endpoint relayEndpoint() const
    {
        return {"127.0.0.1", m_relayAcceptor.local_endpoint().port()};
    }

    /// Sends bytes to the other node's port for relayed requests. @return the status
    int sendToOther(const std::string &bytes)
    {
        m_caller = std::make_unique<Tcp::socket>(m_context);
        m_caller->connect(m_relayAcceptor.local_endpoint());
        send(bytes);
        return receive();
    }

    TrafficState m_other;
    Tcp::acceptor m_relayAcceptor;
    std::shared_ptr<CallerSession> m_relaySession; ///< the last one that was accepted
};

// The balancer goes on with a node that is partitioned from all servers, and so do its callers.
TEST_F(RelayTest, ARequestIsServedByANodeThatReachesTheServers)
{
    auto &server = addBackend(good);
    cutOff(RequestKind::Unsafe);
    std::string body;
    EXPECT_EQ(ask("1", &body), 200);
    EXPECT_EQ(body, "body");
    ASSERT_EQ(server.received.size(), 1U);
    EXPECT_EQ(server.received[0].fields.at("Customer"), "c");
    EXPECT_EQ(server.received[0].fields.at("Expect-Engine"), "e1");
    EXPECT_FALSE(server.received[0].fields.contains("Key"));
    EXPECT_FALSE(server.received[0].fields.contains("Seal"));
}

// An unsafe request that was refused by the first server of the other node may go to its second.
TEST_F(RelayTest, ARefusalOfAServerIsRetriedByTheOtherNode)
{
    addBackend(refused);
    auto &second = addBackend(good);
    cutOff(RequestKind::Unsafe);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(second.received.size(), 1U);
}

// "Not run" has to be true over both hops, or a caller books the same panel twice.
TEST_F(RelayTest, ARefusalOfAllServersIsReportedNotRun)
{
    addBackend(refused);
    addBackend(refused);
    cutOff(RequestKind::Unsafe);
    EXPECT_EQ(ask("1"), 503);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
}

// The server's connection breaks behind the other node: the request may have run.
TEST_F(RelayTest, ALostUnsafeRequestIsNeitherHandedOnAgainNorReportedNotRun)
{
    addBackend([](const ReceivedRequest &) { return ScriptedAnswer{"", NextAction::Reset}; });
    auto &second = addBackend(good);
    cutOff(RequestKind::Unsafe);
    EXPECT_EQ(ask("1"), 502);
    EXPECT_TRUE(second.received.empty());
    EXPECT_NE(m_body.find(R"("ran":"unknown")"), std::string::npos);
}

TEST_F(RelayTest, AServersOwnFailureArrivesUnchanged)
{
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{answer(received.fields.at("Id"), "broken", 500),
                              NextAction::KeepOpen};
    });
    cutOff(RequestKind::Unsafe);
    EXPECT_EQ(ask("1"), 500);
    EXPECT_EQ(m_body, "broken");
}

TEST_F(RelayTest, EventsOfAStreamArriveWholeAndInOrder)
{
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1) + eventChunk(2)
                                      + "0\r\n\r\n",
                              NextAction::KeepOpen};
    });
    cutOff(RequestKind::Stream);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\nid: 2\ndata: d\n\n");
}

// The server behind the other node breaks off in the middle of the stream.
TEST_F(RelayTest, ABrokenStreamResumesAfterTheLastWholeEvent)
{
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1)
                                      + "5\r\nid: 2\r\n",
                              NextAction::Reset};
    });
    auto &second = addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                              NextAction::KeepOpen};
    });
    cutOff(RequestKind::Stream, true);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\nid: 2\ndata: d\n\n");
    ASSERT_EQ(second.received.size(), 1U);
    EXPECT_EQ(second.received[0].fields.at("Resume"), "1");
}

// A caller that leaves must not leave work behind at the server of another node.
TEST_F(RelayTest, ADisconnectOfTheCallerClosesTheServersConnection)
{
    auto &server = addBackend([](const ReceivedRequest &) {
        return ScriptedAnswer{"", NextAction::Hang};
    });
    cutOff(RequestKind::Unsafe);
    connect();
    send(request("1"));
    runUntil([&] { return server.received.size() == 1; });
    m_caller->close();
    runUntil([&] { return server.closedByPeer == 1; });
}

TEST_F(RelayTest, TheOtherNodeGetsTheTimeThatIsLeft)
{
    auto &server = addBackend([](const ReceivedRequest &) {
        return ScriptedAnswer{"", NextAction::Hang};
    });
    constexpr Duration Timeout = milliseconds(300);
    cutOff(RequestKind::Unsafe, false, Timeout);
    const TimePoint start = MonotonicClock::now();
    EXPECT_EQ(ask("1"), 504);
    EXPECT_LT(MonotonicClock::now() - start, 10 * Timeout);
    runUntil([&] { return server.closedByPeer == 1; });
}

// Two nodes that are cut off must not hand a request to and fro.
TEST_F(RelayTest, ARequestIsHandedOnOnceAtMost)
{
    addBackend(good);
    cutOff(RequestKind::Unsafe);
    for (int i = 0; i < 2; ++i) {
        m_other.pool.onConnectEnded(EngineId("e1"), asio::error::connection_refused, Duration{});
    }
    m_other.relays.nodeSeen(1, hashOfName("here"), relayEndpoint(), {}, MonotonicClock::now());
    EXPECT_EQ(ask("1"), 503);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
    EXPECT_TRUE(m_backends[0]->received.empty());
}

// Held back, the request would keep its caller from a node that can serve it.
TEST_F(RelayTest, WithoutANodeThatReachesTheServiceARequestIsRefusedAtOnce)
{
    addBackend(good);
    cutOff(RequestKind::Safe);
    hearOfOther({hashOfName("s")});
    const TimePoint start = MonotonicClock::now();
    EXPECT_EQ(ask("1"), 503);
    EXPECT_LT(MonotonicClock::now() - start, BackendPool::ConnectTimeout);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
}

// Whoever reaches the port between nodes must not get past the check of keys at the front.
TEST_F(RelayTest, ARequestWithoutTheFleetsSealIsRejected)
{
    auto &server = addBackend(good);
    cutOff(RequestKind::Unsafe);
    EXPECT_EQ(sendToOther(request("1")), 403);
    const std::string forged =
            "POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\nSeal: " + std::string(32, 'a')
            + "\r\nServers: 2\r\nContent-Length: 2\r\n\r\nhi";
    EXPECT_EQ(sendToOther(forged), 403);
    EXPECT_TRUE(server.received.empty());
}

TEST_F(RelayTest, ASealHoldsForOneRequestOnly)
{
    CallerRequest request;
    request.id = "1";
    request.method = "POST";
    request.host = "h";
    request.target = "/a/x";
    request.body = "hi";
    RelayTerms terms{"", 2, softwareKey("v1")};
    terms.seal = relaySeal(m_state.digester, request, "", terms).str();
    request.relay = terms;
    EXPECT_TRUE(hasValidSeal(m_other.digester, request));
    CallerRequest other = request;
    other.relay->software = softwareKey("v2");
    EXPECT_FALSE(hasValidSeal(m_other.digester, other));
    other.relay->software.reset();
    EXPECT_FALSE(hasValidSeal(m_other.digester, other));
    other = request;
    other.body = "ho";
    EXPECT_FALSE(hasValidSeal(m_other.digester, other));
    other = request;
    other.key = "k";
    EXPECT_FALSE(hasValidSeal(m_other.digester, other));
    other = request;
    other.relay->mostServers = 3;
    EXPECT_FALSE(hasValidSeal(m_other.digester, other));
    WorkDigester stranger;
    stranger.setKey("another fleet");
    EXPECT_FALSE(hasValidSeal(stranger, request));
}

// A caller that sends the names of the links between nodes must not be taken for a node.
TEST_F(RelayTest, ACallersOwnTermsOfARelayAreDropped)
{
    addBackend(good);
    cutOff(RequestKind::Unsafe);
    connect();
    send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\nSeal: " + std::string(32, 'a')
         + "\r\nServers: 1\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(receive(), 200);
}

// Requests of other nodes must not add to what the fleet may send again.
TEST_F(RelayTest, ARequestThatIsHandedOnRunsOnNoMoreServersThanItsRouteAllows)
{
    const auto resets = [](const ReceivedRequest &) {
        return ScriptedAnswer{"", NextAction::Reset};
    };
    addBackend(resets);
    addBackend(resets);
    addBackend(resets);
    cutOff(RequestKind::Safe);
    EXPECT_EQ(ask("1"), 502);
    std::size_t sends = 0;
    for (const auto &backend : m_backends) {
        sends += backend->received.size();
    }
    EXPECT_LE(sends, 2U);
}

// A node that is handed a request ends, or stays silent, and doesn't say on how many servers it has
// run it. The node that handed it on counts one run and sends it elsewhere.
TEST_F(RelayTest, ARequestThatIsHandedOnRunsOnOneServerOnly)
{
    const auto hangs = [](const ReceivedRequest &) { return ScriptedAnswer{"", NextAction::Hang}; };
    addBackend(hangs);
    addBackend(hangs);
    cutOff(RequestKind::Safe);
    setRoute(RequestKind::Safe, false, std::chrono::seconds(2), milliseconds(100));
    m_other.table = m_state.table;
    EXPECT_EQ(ask("1"), 504);
    EXPECT_EQ(m_backends[0]->received.size() + m_backends[1]->received.size(), 1U);
}

// The links of a node are reset and refused: every server looks as if it had ended under the
// request. Told to the other nodes, that would keep a harmless request from being served anywhere.
TEST_F(RelayTest, ANodeThatIsCutOffBlamesNoRequestForTheEndOfServers)
{
    const auto cutsLinks = [this](const ReceivedRequest &) {
        for (const auto &backend : m_backends) {
            backend->stopListening();
        }
        return ScriptedAnswer{"", NextAction::Reset};
    };
    addBackend(cutsLinks);
    addBackend(cutsLinks);
    EXPECT_NE(ask("1"), 200);
    EXPECT_EQ(m_state.quarantine.size(), 0U);
}

// The same with another server that still accepts connections: this one has ended.
TEST_F(RelayTest, ARequestUnderWhichOneOfTheServersEndsIsSuspected)
{
    addBackend([this](const ReceivedRequest &) {
        m_backends[0]->stopListening();
        return ScriptedAnswer{"", NextAction::Reset};
    });
    addBackend(good);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_state.quarantine.size(), 1U);
}

// Guards against leaving a slow server for another node that refuses, when this node takes itself
// for cut off.
TEST_F(RelayTest, ASlowAnswerIsNotLostIfTheOtherNodeRefuses)
{
    setRoute(RequestKind::Safe, false, Ample);
    auto &first = addBackend(heldUntilLeft());
    addBackend(silent);
    addBackend(refused);
    shareServers();
    EXPECT_EQ(askAndBelieveCutOff(first), 200);
    EXPECT_EQ(m_body, "held");
    EXPECT_FALSE(m_backends[2]->received.empty());
}

// Guards against a stream that ends because the node that took it over breaks off, though the
// server that was left for that node goes on.
TEST_F(RelayTest, AStreamIsResumedIfTheNodeThatTookItBreaksOff)
{
    setSlowStream();
    auto &first = addBackend([](const ReceivedRequest &received) {
        const std::string head = streamHead(received.fields.at("Id"));
        return received.fields.contains("Resume")
                       ? ScriptedAnswer{head + eventChunk(2) + "0\r\n\r\n", NextAction::KeepOpen}
                       : ScriptedAnswer{"", NextAction::Hang};
    });
    addBackend(refused);
    addBackend([this](const ReceivedRequest &received) {
        believeCutOff(false);
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    shareServers();
    EXPECT_EQ(askAndBelieveCutOff(first), 200);
    EXPECT_EQ(m_body, TwoEvents);
}

// Guards against a stream that another node began at its server, and that goes on here at a server
// of another software version: only the other node knew the version.
TEST_F(RelayTest, AStreamThatWasHandedOnIsBoundToTheVersionThatBeganIt)
{
    setSlowStream();
    auto &first = addBackend([](const ReceivedRequest &received) {
        const std::string head = streamHead(received.fields.at("Id"));
        return received.fields.contains("Resume")
                       ? ScriptedAnswer{head + eventChunk(2) + "0\r\n\r\n", NextAction::KeepOpen}
                       : ScriptedAnswer{"", NextAction::Hang};
    });
    addBackend(refused);
    addBackend([this](const ReceivedRequest &received) {
        believeCutOff(false);
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    m_entries[0].software = "v1";
    m_entries[1].software = "v1";
    m_entries[2].software = "v2";
    shareServers();
    EXPECT_EQ(askAndBelieveCutOff(first), 0);
    EXPECT_EQ(first.received.size(), 1U);
    EXPECT_EQ(m_state.origins.find(attemptKey("1"), MonotonicClock::now()), softwareKey("v2"));
}

// Guards against holding a caller's stream to the deadline at a node that is still cut off: the
// caller may resume it at another node.
TEST_F(RelayTest, AStreamIsNotHeldForAServerThatIsOutOfReach)
{
    setSlowStream();
    auto &first = addBackend(silent);
    addBackend(silent);
    addBackend([](const ReceivedRequest &received) {
        return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                              NextAction::Reset};
    });
    shareServers();
    const TimePoint start = MonotonicClock::now();
    EXPECT_EQ(askAndBelieveCutOff(first), 0);
    EXPECT_LT(MonotonicClock::now() - start, Ample / 2);
}

// Guards against a planned stop of the other node that ends a request which it has taken.
TEST_F(RelayTest, AStopOfTheOtherNodeDoesNotEndARequestThatItTook)
{
    auto &server = addBackend([this](const ReceivedRequest &received) {
        const auto isStopping = [this] { return m_other.isShuttingDown; };
        return ScriptedAnswer{"",
                              NextAction::KeepOpen,
                              {},
                              {{answer(received.fields.at("Id"), "body"), isStopping}}};
    });
    cutOff(RequestKind::Unsafe);
    connect();
    send(request("1"));
    runUntil([&] { return server.received.size() == 1; });
    m_other.isDraining = true;
    m_other.isShuttingDown = true;
    m_relaySession->closeWhenIdle();
    EXPECT_EQ(receive(), 200);
}

// Guards against ending a request that may have run, and may run again, because this node takes
// itself for cut off for a moment: a "502" promises the caller nothing.
TEST_F(RelayTest, ARequestThatMayHaveRunIsNotEndedByAMomentaryLossOfAllServers)
{
    setRoute(RequestKind::Safe, false, Ample);
    std::optional<TimePoint> lostAt;
    addBackend([this, &lostAt](const ReceivedRequest &received) {
        if (lostAt) {
            return good(received);
        }
        lostAt = MonotonicClock::now();
        believeCutOff(true);
        return reset(received);
    });
    addBackend(good);
    m_state.ticker.onStep = [&](TimePoint now) {
        if (lostAt && now - *lostAt > milliseconds(100)) {
            believeCutOff(false);
        }
    };
    EXPECT_EQ(ask("1"), 200);
    m_state.ticker.onStep = nullptr;
}

} // namespace
} // namespace vanilladyke
