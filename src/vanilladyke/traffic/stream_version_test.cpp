#include "vanilladyke/traffic/held_answer_fixture.hpp"

namespace vanilladyke {
namespace {

/// Streams while servers of two software versions serve one service.
class StreamVersionTest : public HeldAnswerTest
{
protected:
    /// Gives the servers these versions, in order.
    void setSoftware(const std::vector<std::string> &versions)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_entries[i].software = versions[i];
        }
        m_state.setBackends(m_entries, MonotonicClock::now());
    }

    static ScriptedAnswer whole(const ReceivedRequest &received)
    {
        return {wholeStream(received), NextAction::KeepOpen};
    }

    static ScriptedAnswer rest(const ReceivedRequest &received)
    {
        return {streamHead(received.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                NextAction::KeepOpen};
    }

    static ScriptedAnswer brokenOff(const ReceivedRequest &received)
    {
        return {streamHead(received.fields.at("Id")) + eventChunk(1), NextAction::Reset};
    }

    int takeUp(const std::string &id, const std::string &firstAttempt)
    {
        connect();
        send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nResume: 1\r\nFirst-Attempt: "
             + firstAttempt + "\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nhi");
        return receive();
    }
};

// The server breaks off after an event. The one that is asked next has another version.
TEST_F(StreamVersionTest, AnInterruptedStreamGoesOnAtItsVersion)
{
    setRoute(RequestKind::Stream, true);
    addBackend(brokenOff);
    const auto &other = addBackend(rest);
    addBackend(rest);
    const auto &other2 = addBackend(rest);
    setSoftware({"v1", "v2", "v1", "v2"});
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
    EXPECT_TRUE(other.received.empty());
    EXPECT_TRUE(other2.received.empty());
}

// No server of the version is left: an end that the caller sees at once is better than the halves
// of two texts.
TEST_F(StreamVersionTest, AnInterruptedStreamEndsIfItsVersionIsGone)
{
    setRoute(RequestKind::Stream, true, Ample);
    addBackend([this](const ReceivedRequest &received) {
        m_state.setBackends({m_entries[1]}, MonotonicClock::now());
        return brokenOff(received);
    });
    const auto &other = addBackend(rest);
    setSoftware({"v1", "v2"});
    EXPECT_EQ(ask("1"), 0);
    EXPECT_TRUE(other.received.empty());
}

// A server is silent in the middle of a stream, so that another one is asked beside it.
TEST_F(StreamVersionTest, APausedStreamIsHedgedAtItsVersionOnly)
{
    setSlowStream();
    addBackend(pausesUntilLeft(false));
    const auto &other = addBackend(rest);
    addBackend(rest);
    setSoftware({"v1", "v2", "v1"});
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, TwoEvents);
    EXPECT_TRUE(other.received.empty());
}

// The first server is silent, and a second of another version begins instead: nothing was delivered
// before.
TEST_F(StreamVersionTest, AHedgeBeforeTheFirstEventBindsNothing)
{
    setSlowStream();
    addBackend(silent);
    addBackend(whole);
    setSoftware({"v1", "v2"});
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_state.origins.find(attemptKey("1"), MonotonicClock::now()), softwareKey("v2"));
}

// A caller comes back for a stream of this node. The server of the other version is the one that is
// asked first.
TEST_F(StreamVersionTest, ATakenUpStreamGoesOnAtTheVersionOfItsFirstAttempt)
{
    setRoute(RequestKind::Stream, true);
    const auto &near = addBackend(rest);
    const auto &far = addBackend(rest);
    setSoftware({"v1", "v2"});
    m_state.origins.record({attemptKey("0"), softwareKey("v2"), TimePoint::max()},
                           MonotonicClock::now());
    EXPECT_EQ(takeUp("1", "0"), 200);
    EXPECT_TRUE(near.received.empty());
    EXPECT_EQ(far.received.size(), 1U);
    // The next one names the attempt that brought the first event, or the one before it.
    EXPECT_EQ(takeUp("2", "1"), 200);
    EXPECT_EQ(far.received.size(), 2U);
}

// Other nodes know what this one has never seen. A guess would mix two versions in half of the
// cases.
TEST_F(StreamVersionTest, OtherNodesAreAskedForTheOrigin)
{
    setRoute(RequestKind::Stream, true);
    const auto &near = addBackend(rest);
    addBackend(rest);
    setSoftware({"v1", "v2"});
    m_state.askOrigin = [](const OriginQuery &query) -> asio::awaitable<OriginReport> {
        OriginReport report;
        if (query.attempt == attemptKey("0")) {
            report.software = softwareKey("v2");
        }
        co_return report;
    };
    EXPECT_EQ(takeUp("1", "0"), 200);
    EXPECT_TRUE(near.received.empty());
    EXPECT_EQ(takeUp("2", "never-seen"), 503);
    EXPECT_NE(m_body.find("unknown_origin"), std::string::npos);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
}

// A new node takes an older node's word that there was one version only, unless it sees another one
// itself.
TEST_F(StreamVersionTest, AnOlderNodesOnlyVersionIsBelievedUnlessAnotherOneIsListed)
{
    setRoute(RequestKind::Stream, true);
    addBackend(rest);
    const auto &other = addBackend(rest);
    m_state.askOrigin = [](const OriginQuery &) -> asio::awaitable<OriginReport> {
        OriginReport report;
        report.only = softwareKey("v1");
        report.onlyListedAt = MonotonicClock::now();
        co_return report;
    };
    setSoftware({"v1", "v2"});
    EXPECT_EQ(takeUp("1", "0"), 503);
    m_state.setBackends({m_entries[0]}, MonotonicClock::now());
    EXPECT_EQ(takeUp("2", "0"), 200);
    EXPECT_TRUE(other.received.empty());
}

// The node stood still or does not reach the store: servers of another version may have joined.
TEST_F(StreamVersionTest, AnOldListDoesNotTellTheOnlyVersion)
{
    setRoute(RequestKind::Stream, true);
    const auto &server = addBackend(rest);
    m_state.software = SoftwareHistory(true);
    setSoftware({"v1"});
    m_state.software.setRecords({});
    m_state.readBackends = []() -> asio::awaitable<bool> { co_return false; };
    EXPECT_EQ(takeUp("1", "0"), 503);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
    EXPECT_TRUE(server.received.empty());
    m_state.readBackends = []() -> asio::awaitable<bool> { co_return true; };
    EXPECT_EQ(takeUp("2", "0"), 200);
}

// The list of the node lacks a version that other nodes know. Once it is read anew the stream goes
// on.
TEST_F(StreamVersionTest, AStreamOfAVersionThatIsNotListedYetGoesOnOnceItIs)
{
    setRoute(RequestKind::Stream, true);
    addBackend(rest);
    const auto &joined = addBackend(rest);
    setSoftware({"v1", "v2"});
    m_state.setBackends({m_entries[0]}, MonotonicClock::now());
    m_state.origins.record({attemptKey("0"), softwareKey("v2"), TimePoint::max()},
                           MonotonicClock::now());
    m_state.readBackends = [this]() -> asio::awaitable<bool> {
        m_state.setBackends(m_entries, MonotonicClock::now());
        co_return true;
    };
    EXPECT_EQ(takeUp("1", "0"), 200);
    EXPECT_EQ(joined.received.size(), 1U);
}

// The node dies right after the caller has got the first event: others have to know the version
// before that.
TEST_F(StreamVersionTest, OthersAreToldBeforeTheCallerGetsTheFirstEvent)
{
    setRoute(RequestKind::Stream, true);
    addBackend(whole);
    addBackend(whole);
    setSoftware({"v1", "v2"});
    std::vector<StreamOrigin> told;
    m_state.tellOrigin = [&](const StreamOrigin &origin) {
        EXPECT_EQ(m_caller->available(), 0U);
        told.push_back(origin);
    };
    EXPECT_EQ(ask("1"), 200);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].attempt, attemptKey("1"));
    EXPECT_EQ(told[0].software, softwareKey("v1"));
}

} // namespace
} // namespace vanilladyke
