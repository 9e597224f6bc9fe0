#include "vanilladyke/traffic/broken_head_fixture.hpp"

namespace vanilladyke {
namespace {

// A server in trouble sends a status that HTTP doesn't define, or one that switches protocols.
// Guards against such an answer being passed on, or its body being read as the next answer.
TEST_F(BrokenHeadTest, NoAnswerIsMadeOfAStatusThatIsNone)
{
    for (const char *status : {"000", "001", "009", "042", "099", "101", "600", "642", "999"}) {
        for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
            expectNone(version + status + " X", "");
            expectNone(version + status + " X", "Content-Length: 4\r\n", "body");
            expectNone(version + status + " X",
                       "Content-Length: " + std::to_string(inner.size()) + "\r\n", inner);
            expectNone(version + status + " X", "Transfer-Encoding: chunked\r\n",
                       "4\r\nbody\r\n0\r\n\r\n");
        }
    }
    for (const char *status : {"20", "2000", "-20", "2x0", " 200", "", "0x1"}) {
        expectNone("HTTP/1.1 " + std::string(status) + " X", "Content-Length: 4\r\n", "body");
    }
}

// An informational status promises a further answer; one that has a body, or that nothing follows,
// is no answer.
TEST_F(BrokenHeadTest, NoAnswerIsMadeOfAnInformationalOneWithABody)
{
    for (const char *status : {"100", "102", "103", "199"}) {
        const std::string line = "HTTP/1.1 " + std::string(status) + " X";
        const std::string length = std::to_string(inner.size());
        expectNone(line, "Content-Length: " + length + "\r\n", inner);
        expectNone(line, "Transfer-Encoding: chunked\r\n", inner);
        EXPECT_EQ(askFor(line + "\r\n\r\n"), 502);
        setRoute(RequestKind::Unsafe, false);
        EXPECT_EQ(askFor(joined({line, "\r\nLink: a\r\n\r\n", inner})), 200);
        EXPECT_EQ(m_body, "inner");
        EXPECT_EQ(askFor(joined({line, "\r\n\r\n", line, "\r\n\r\n", inner})), 200);
    }
}

} // namespace
} // namespace vanilladyke
