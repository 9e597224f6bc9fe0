#include "vanilladyke/traffic/broken_head_fixture.hpp"

namespace vanilladyke {
namespace {

// A line of the head has no name that HTTP allows, or begins with a blank, so that it continues the
// line before: its length is not seen, and the body has another end than the server's.
TEST_F(BrokenHeadTest, NoAnswerIsMadeOfANameThatIsNone)
{
    const std::vector<std::string> lines{"A B: v",
                                         "A : v",
                                         "Content-Length : 4",
                                         "Content Length: 4",
                                         " Content-Length: 4",
                                         "\tContent-Length: 4",
                                         "  A: v",
                                         " ",
                                         "Transfer-Encoding\t: chunked",
                                         std::string("A\0B: v", 6),
                                         std::string("\0A: v", 5),
                                         std::string("\x01") + "A: v",
                                         std::string("A\x0b") + "B: v",
                                         "A\x1f: v",
                                         "A\x7f: v",
                                         "A\x80: v",
                                         "A\r: v",
                                         "A\nB: v",
                                         "A(B): v",
                                         ": v",
                                         "no colon"};
    for (const std::string &line : lines) {
        for (const std::string &more : {std::string(), std::string("Content-Length: 4\r\n")}) {
            expectNone("HTTP/1.1 200 OK", joined({line, "\r\n", more}), "body");
            expectNone("HTTP/1.1 200 OK", joined({more, line, "\r\n"}), "body");
        }
    }
    expectNone("HTTP/1.1 200 OK\r\n Content-Length: 4", "", "body");
    expectNone("HTTP/1.1 500 X", "A\x01: v\r\nContent-Length: 4\r\n", "body");
}

} // namespace
} // namespace vanilladyke
