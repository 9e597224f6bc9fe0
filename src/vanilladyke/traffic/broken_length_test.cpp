#include "vanilladyke/traffic/broken_head_fixture.hpp"

namespace vanilladyke {
namespace {

// A length or a coding that is named oddly, or more than once.
TEST_F(BrokenHeadTest, NoAnswerIsMadeOfAnOddLengthOrCoding)
{
    for (const std::string value :
         {"", "+4", "-4", "4x", "0x4", "4 4", "4;4", "4, 5", "4,", ",4", "18446744073709551620"}) {
        expectNone("HTTP/1.1 200 OK", "Content-Length: " + value + "\r\n", "body");
    }
    expectNone("HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 3\r\n", "body");
    for (const std::string value :
         {"", "gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked",
          "chunked;a=b", "\"chunked\"", "chunk", "chunked,"}) {
        expectNone("HTTP/1.1 200 OK", "Transfer-Encoding: " + value + "\r\n",
                   "4\r\nbody\r\n0\r\n\r\n");
        expectNone("HTTP/1.1 200 OK", "Transfer-Encoding: " + value + "\r\nContent-Length: 4\r\n",
                   "body");
    }
    for (const std::string first : {"gzip", "chunked", "identity"}) {
        for (const std::string second : {"gzip", "chunked", "identity"}) {
            expectNone("HTTP/1.1 200 OK",
                       joined({"Transfer-Encoding: ", first, "\r\nTransfer-Encoding: ", second,
                               "\r\n"}),
                       "4\r\nbody\r\n0\r\n\r\n");
        }
    }
    expectNone("HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "body");
    expectNone("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n");
    setRoute(RequestKind::Unsafe, false);
    for (const char *fields : {"Content-Length: 4\r\n", "content-length:4\r\n",
                               "Content-Length: \t4 \r\n", "Content-Length: 004\r\n"}) {
        EXPECT_EQ(askFor("HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n" + std::string(fields)
                         + "\r\nbody"),
                  200);
        EXPECT_EQ(m_body, "body");
    }
    for (const char *fields : {"Transfer-Encoding: Chunked\r\n", "transfer-encoding:chunked\r\n"}) {
        EXPECT_EQ(askFor("HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n" + std::string(fields)
                         + "\r\n4\r\nbody\r\n0\r\n\r\n"),
                  200);
        EXPECT_EQ(m_body, "body");
    }
}

// An answer that has no body names one, which comes later. Guards against a body that is read as
// the answer to the next request on the connection: its refusal would be believed.
TEST_F(BrokenHeadTest, AConnectionIsLeftAfterABodyThatMayNotBe)
{
    setRoute(RequestKind::Unsafe, false);
    const std::string length = "Content-Length: " + std::to_string(refusal.size()) + "\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::pair<std::string, std::string>> heads{
            {"204", length}, {"204", chunks}, {"304", chunks}};
    for (const auto &[status, fields] : heads) {
        m_entries.clear();
        m_buffer.clear();
        ScriptedBackend &server =
                addBackend([status = status, fields = fields](const ReceivedRequest &received) {
                    const std::string head = "HTTP/1.1 " + status + " X\r\nId: "
                                             + received.fields.at("Id") + "\r\nStamp: s\r\n";
                    return ScriptedAnswer{head + fields + "\r\n", NextAction::KeepOpen};
                });
        m_entries.back().id = EngineId("bodiless" + std::to_string(++m_asked));
        m_state.tracker.setBackends(m_entries);
        EXPECT_EQ(ask("1"), std::stoi(status));
        EXPECT_EQ(ask("2"), std::stoi(status));
        ASSERT_EQ(server.received.size(), 2U);
        EXPECT_EQ(server.received.back().connection, 2) << status << " " << fields;
    }
}

} // namespace
} // namespace vanilladyke
