#include "vanilladyke/traffic/exchange_fixture.hpp"

namespace vanilladyke {
namespace {

/// Requests whose prompts share parts, at a node that has seen engines end.
class PartQuarantineTest : public ExchangeTest
{
protected:
    PartQuarantineTest()
    {
        m_state.digester.setKey("fleet");
        addBackend(good);
    }

    int askWith(const std::string &id, const std::string &parts)
    {
        connect();
        send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nParts: " + parts + "\r\nId: " + id
             + "\r\nContent-Length: 2\r\n\r\nhi");
        return receive();
    }

    [[nodiscard]] WorkDigest digestOf(const std::string &part) const
    {
        return m_state.digester.digest({"", "part", "", part, ""});
    }

    /// Engines end one after the other under requests with the part.
    void blame(const std::string &part, std::uint64_t ends = 3)
    {
        const TimePoint now = MonotonicClock::now();
        for (std::uint64_t i = 0; i < ends; ++i) {
            const TimePoint at = now - milliseconds(900) + milliseconds(300) * static_cast<int>(i);
            static_cast<void>(m_state.quarantine.recordPartTermination(
                    digestOf(part), 1, {100 + i, at, true, i, at - milliseconds(50)}));
        }
    }
};

// Requests with the part are refused whatever else they hold, and sound ones of the same caller are
// served.
TEST_F(PartQuarantineTest, OnlyRequestsWithThePartAreRefused)
{
    blame("bad");
    EXPECT_EQ(askWith("1", "common,bad,own1"), 503);
    EXPECT_NE(m_body.find("ends_engines"), std::string::npos);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
    EXPECT_EQ(askWith("2", "bad,session,own2"), 503);
    EXPECT_EQ(askWith("3", "common,session,own3"), 200);
    EXPECT_EQ(m_backends[0]->received.size(), 1U);
}

// The last part is the request's own: another request that names it elsewhere has nothing to do
// with it.
TEST_F(PartQuarantineTest, TheLastPartIsNotShared)
{
    blame("bad");
    EXPECT_EQ(askWith("1", "common,session,bad"), 200);
}

// A part that was held wrongly is free at once when a request that was under way with it is
// answered. If another node tells of the suspicion, requests that wait must not be withdrawn for
// it.
TEST_F(PartQuarantineTest, AWholeAnswerFreesASuspectedPart)
{
    bool hasArrived = false;
    addBackend([&hasArrived](const ReceivedRequest &received) {
        hasArrived = true;
        return ScriptedAnswer{answer(received.fields.at("Id"), "body"), NextAction::KeepOpen,
                              milliseconds(150)};
    });
    m_entries.erase(m_entries.begin());
    m_state.tracker.setBackends(m_entries);
    connect();
    send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nParts: common,bad,own\r\nId: "
         "1\r\nContent-Length: 2\r\n\r\nhi");
    runUntil([&] { return hasArrived; });
    blame("bad", 2);
    EXPECT_TRUE(m_state.quarantine.heldUntil(digestOf("bad"), MonotonicClock::now()));
    Exchange::withdrawQuarantined(m_state, digestOf("bad"));
    EXPECT_EQ(receive(), 200);
    EXPECT_FALSE(m_state.quarantine.heldUntil(digestOf("bad"), MonotonicClock::now()));
    EXPECT_EQ(askWith("2", "common,bad,own2"), 200);
}

// A request that waits at an engine would end it as soon as it runs.
TEST_F(PartQuarantineTest, RequestsThatWaitWithTheCulpritAreWithdrawn)
{
    bool hasArrived = false;
    addBackend([&hasArrived](const ReceivedRequest &) {
        hasArrived = true;
        return ScriptedAnswer{"", NextAction::Hang};
    });
    m_entries.erase(m_entries.begin());
    m_state.tracker.setBackends(m_entries);
    connect();
    send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nParts: common,bad,own\r\nId: "
         "1\r\nContent-Length: 2\r\n\r\nhi");
    runUntil([&] { return hasArrived; });
    blame("bad");
    Exchange::withdrawQuarantined(m_state, digestOf("bad"));
    EXPECT_EQ(receive(), 502);
}

} // namespace
} // namespace vanilladyke
