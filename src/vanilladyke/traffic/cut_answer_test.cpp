#include "vanilladyke/traffic/exchange_fixture.hpp"
#include "vanilladyke/traffic/relay_seal.hpp"

namespace vanilladyke {
namespace {

const std::vector<std::string> framings{"length", "chunks", "end of connection"};
const std::vector<NextAction> endings{NextAction::Close, NextAction::Reset};

/// Servers that stop in the middle of an answer and close their connection in order or reset it.
class CutAnswerTest : public ExchangeTest
{
protected:
    struct Answer
    {
        std::string head; ///< with its empty line
        std::string body; ///< as sent
        [[nodiscard]] std::string bytes() const { return head + body; }
    };

    static Answer whole(const std::string &id, const std::string &framing,
                        const std::vector<std::string> &pieces)
    {
        Answer result{"HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\n", ""};
        for (const std::string &piece : pieces) {
            std::ostringstream chunk;
            chunk << std::hex << piece.size() << "\r\n" << piece << "\r\n";
            result.body += framing == "chunks" ? chunk.str() : piece;
        }
        if (framing == "length") {
            result.head += "Content-Length: " + std::to_string(result.body.size()) + "\r\n";
        } else if (framing == "chunks") {
            result.head += "Transfer-Encoding: chunked\r\n";
            result.body += "0\r\n\r\n";
        }
        result.head += "\r\n";
        return result;
    }

    static std::vector<std::string> events(int first, int last)
    {
        std::vector<std::string> result;
        for (int i = first; i <= last; ++i) {
            result.push_back("id: " + std::to_string(i) + "\ndata: d\n\n");
        }
        return result;
    }

    /// Replaces all servers by new ones, which no earlier test case has marked as failing.
    void replaceBackends(const std::vector<ScriptedBackend::Script> &scripts)
    {
        m_entries.clear();
        m_buffer.clear();
        for (const auto &script : scripts) {
            addBackend(script);
            m_entries.back().dataCentre = DataCentreId(m_entries.size() == 1 ? "here" : "there");
        }
        m_state.tracker.setBackends(m_entries);
    }

    /// Asks a server that sends @p bytes and ends the connection. @return the status
    int askCut(const std::string &bytes, NextAction ending)
    {
        replaceBackends({[&](const ReceivedRequest &) { return ScriptedAnswer{bytes, ending}; }});
        return ask("1");
    }
};

// A server ends within the head of its answer. Guards against an answer that is passed on as
// complete, with an empty or short body.
TEST_F(CutAnswerTest, NoAnswerIsMadeOfACutHead)
{
    for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
        setRoute(kind, kind == RequestKind::Stream, std::chrono::seconds(5),
                 std::chrono::seconds(2), 1);
        const auto pieces =
                kind == RequestKind::Stream ? events(1, 2) : std::vector<std::string>{"body"};
        for (const std::string &framing : framings) {
            for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
                const Answer answer = whole("1", framing, pieces);
                for (const NextAction ending : endings) {
                    for (std::size_t at = 0; at < before.size() + answer.head.size(); ++at) {
                        const std::string bytes = (before + answer.head).substr(0, at);
                        ASSERT_EQ(askCut(bytes, ending), 502) << framing << "\n" << bytes;
                    }
                }
                ASSERT_EQ(askCut(before + answer.bytes(), NextAction::Close), 200) << framing;
            }
        }
    }
}

// As above, on a connection that served a request before.
TEST_F(CutAnswerTest, NoAnswerIsMadeOfACutHeadOnAReusedConnection)
{
    setRoute(RequestKind::Unsafe, false);
    for (const std::string &framing : framings) {
        const Answer answer = whole("1", framing, {"body"});
        for (std::size_t at = 0; at < answer.head.size(); ++at) {
            replaceBackends({[&](const ReceivedRequest &received) {
                const std::string &id = received.fields.at("Id");
                return id == "0" ? good(received)
                                 : ScriptedAnswer{answer.head.substr(0, at), NextAction::Close};
            }});
            ASSERT_EQ(ask("0"), 200);
            ASSERT_EQ(ask("1"), 502) << framing << " " << at;
            ASSERT_EQ(m_backends.back()->received.back().connection, 1);
        }
    }
}

// The body of an answer with a length or in chunks ends early.
TEST_F(CutAnswerTest, NoAnswerIsMadeOfACutBody)
{
    for (const RequestKind kind : {RequestKind::Safe, RequestKind::Stream}) {
        setRoute(kind, false);
        const auto pieces =
                kind == RequestKind::Stream ? events(1, 2) : std::vector<std::string>{"bo", "dy"};
        for (const std::string framing : {"length", "chunks"}) {
            const Answer answer = whole("1", framing, pieces);
            for (std::size_t at = answer.head.size(); at < answer.bytes().size(); ++at) {
                for (const NextAction ending : endings) {
                    ASSERT_NE(askCut(answer.bytes().substr(0, at), ending), 200)
                            << framing << "\n"
                            << answer.bytes().substr(0, at);
                }
            }
        }
    }
}

// A stream without length or chunks ends in order after its head or within its first event: the
// engine has ended. Guards against a stream without events that is passed on as complete.
TEST_F(CutAnswerTest, NoStreamIsMadeOfAHeadAlone)
{
    setRoute(RequestKind::Stream, false);
    const Answer answer = whole("1", "end of connection", events(1, 1));
    for (std::size_t at = answer.head.size(); at < answer.bytes().size(); ++at) {
        for (const NextAction ending : endings) {
            ASSERT_EQ(askCut(answer.bytes().substr(0, at), ending), 502) << at;
        }
    }
}

// A stream breaks off, and so does the answer of the server that goes on with it. Guards against
// a stream that ends as complete before its last event.
TEST_F(CutAnswerTest, NoStreamIsCompletedByACutAnswer)
{
    setRoute(RequestKind::Stream, true);
    for (const std::string &framing : framings) {
        const Answer resumed = whole("1", framing, events(2, 2));
        const bool hasEnd = framing != "end of connection";
        const std::size_t size = hasEnd ? resumed.bytes().size() : resumed.bytes().size() - 1;
        for (std::size_t at = resumed.head.size() - 2; at < size; ++at) {
            replaceBackends(
                    {[](const ReceivedRequest &received) {
                         return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                                               NextAction::Close};
                     },
                     [&](const ReceivedRequest &) {
                         m_state.tracker.setBackends({}); // ends the tries after this one
                         return ScriptedAnswer{resumed.bytes().substr(0, at), NextAction::Close};
                     }});
            ASSERT_EQ(ask("1"), 0) << framing << "\n" << resumed.bytes().substr(0, at);
            ASSERT_EQ(m_backends.back()->received.back().fields.at("Resume"), "1");
        }
    }
}

// Another node serves a request and ends while it answers.
TEST_F(CutAnswerTest, NoAnswerIsMadeOfACutAnswerOfAnotherNode)
{
    m_state.digester.setKey("fleet");
    for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Stream}) {
        setRoute(kind, false);
        const Answer answer = kind == RequestKind::Stream ? whole("1", "chunks", events(1, 2))
                                                          : whole("1", "length", {"body"});
        for (std::size_t at = 0; at < answer.bytes().size(); ++at) {
            replaceBackends({good});
            m_state.pool.onConnectEnded(m_entries[0].id, asio::error::connection_refused, {});
            m_state.pool.onConnectEnded(m_entries[0].id, asio::error::connection_refused, {});
            ScriptedBackend node(m_context, [&](const ReceivedRequest &) {
                return ScriptedAnswer{answer.bytes().substr(0, at), NextAction::Close};
            });
            m_state.relays = RelayNodes(hashOfName("here")); // forgets the nodes before
            m_state.relays.nodeSeen(2, hashOfName("here"), node.endpoint(), {},
                                    MonotonicClock::now());
            ASSERT_NE(ask("1"), 200) << answer.bytes().substr(0, at);
            ASSERT_EQ(node.received.size(), 1U);
            ASSERT_TRUE(node.received[0].fields.contains("Seal"));
        }
    }
}

// A server answers HEAD with the length of a body that does not follow, or ends within the head.
TEST_F(CutAnswerTest, AnswersToHeadHaveNoBody)
{
    for (const RequestKind kind : {RequestKind::Safe, RequestKind::Stream}) {
        setRoute(kind, false);
        const Answer answer = whole("1", "length", {"body"});
        for (std::size_t at = 0; at <= answer.head.size(); ++at) {
            replaceBackends({[&](const ReceivedRequest &) {
                return ScriptedAnswer{answer.head.substr(0, at), NextAction::Close};
            }});
            connect();
            send("HEAD /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\n\r\n");
            http::response_parser<http::string_body> parser;
            parser.skip(true);
            bool isRead = false;
            http::async_read(*m_caller, m_buffer, parser,
                             [&](const ErrorCode &, std::size_t) { isRead = true; });
            runUntil([&] { return isRead; });
            ASSERT_EQ(parser.get().result_int(), at == answer.head.size() ? 200U : 502U) << at;
            // Bytes after the head would be taken for the start of the next answer.
            send(request("2", "/none/"));
            ASSERT_EQ(receive(), 404) << at;
        }
    }
}

} // namespace
} // namespace vanilladyke
