#include "vanilladyke/gateway/service_exchange.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace vanilladyke {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

enum class Ending {
    Close,
    Reset,
    EndThenReset ///< ends its half in order and closes while bytes of the call lie unread
};

/// Accepts one connection, reads a request, sends these bytes and ends the connection.
class CutServer
{
public:
    CutServer(std::string bytes, Ending ending)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this, bytes = std::move(bytes), ending] { serve(bytes, ending); })
    {}
    CutServer(const CutServer &) = delete;
    CutServer &operator=(const CutServer &) = delete;
    ~CutServer() { m_thread.join(); }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::string &bytes, Ending ending)
    {
        Tcp::socket socket = m_acceptor.accept();
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        asio::write(socket, asio::buffer(bytes));
        if (ending == Ending::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (ending == Ending::EndThenReset) {
            socket.shutdown(Tcp::socket::shutdown_send);
        }
        socket.close(); // the destructor would close in order whatever the option
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

Outcome<ServiceAnswer, ExchangeFailure> askCut(const std::string &bytes, Ending ending,
                                               const std::string &body = "")
{
    const CutServer server(bytes, ending);
    ServiceCall call;
    call.method = body.empty() ? "GET" : "POST";
    call.target = "/x";
    call.body = body;
    return sendOnce(call, server.endpoint(), {}, MonotonicClock::now() + std::chrono::seconds(5));
}

/// A head with these fields, and the line after it.
std::string headOf(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "\r\n\r\n";
}

struct Answer
{
    std::string head;
    std::string body; ///< as sent
};

const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const Answer byLength{start + "Content-Length: 8\r\n\r\n", "the body"};
const Answer byChunks{start + "Transfer-Encoding: chunked\r\n\r\n",
                      "4\r\nthe \r\n0004\r\nbody\r\n0\r\n\r\n"};
const Answer byEnd{start + "\r\n", "the body"};

// A service ends within the head of its answer. Guards against an answer that is passed on as
// complete, with an empty or short body.
TEST(ServiceExchange, NoAnswerIsMadeOfACutHead)
{
    for (const Answer &answer : {byLength, byChunks, byEnd}) {
        const auto whole = askCut(answer.head + answer.body, Ending::Close);
        ASSERT_TRUE(whole);
        ASSERT_EQ(whole->body, "the body");
        for (std::size_t at = 0; at < answer.head.size(); ++at) {
            for (const Ending ending : {Ending::Close, Ending::Reset}) {
                ASSERT_FALSE(askCut(answer.head.substr(0, at), ending))
                        << answer.head.substr(0, at);
            }
        }
    }
}

// A service ends within the body of its answer. Guards against a short body that is passed on as
// complete.
TEST(ServiceExchange, NoAnswerIsMadeOfACutBody)
{
    for (const Answer &answer : {byLength, byChunks}) {
        for (std::size_t at = 0; at < answer.body.size(); ++at) {
            for (const Ending ending : {Ending::Close, Ending::Reset}) {
                const auto cut = askCut(answer.head + answer.body.substr(0, at), ending);
                EXPECT_FALSE(cut) << answer.body.substr(0, at) << "|" << (cut ? cut->body : "");
            }
        }
    }
    for (std::size_t at = 0; at < byEnd.body.size(); ++at) {
        EXPECT_FALSE(askCut(byEnd.head + byEnd.body.substr(0, at), Ending::Reset)) << at;
    }
}

// A service answers before it has read a long call, and closes its connection: the rest of the call
// is rejected. Guards against a part of an answer that is passed on as the whole.
TEST(ServiceExchange, NoAnswerIsMadeOfOneThatAResetEnds)
{
    for (const std::size_t length : {std::size_t{300'000}, std::size_t{8'000'000}}) {
        const std::string body(length, 'b');
        for (std::size_t at = 0; at <= byEnd.body.size(); ++at) {
            for (const Ending ending : {Ending::Close, Ending::Reset, Ending::EndThenReset}) {
                const auto cut = askCut(byEnd.head + byEnd.body.substr(0, at), ending, body);
                EXPECT_FALSE(cut) << length << " " << at << " " << static_cast<int>(ending);
            }
        }
    }
}

// A service in trouble sends a status that HTTP doesn't define, or an informational one with a
// body. Guards against such an answer, or the body, being passed on.
TEST(ServiceExchange, NoAnswerIsMadeOfAStatusThatIsNone)
{
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";
    const std::string length = "Content-Length: " + std::to_string(inner.size());
    for (const std::string status : {"000", "001", "099", "100", "101", "103", "600", "999"}) {
        for (const std::string &fields : {length, std::string("Transfer-Encoding: chunked")}) {
            const std::string head = headOf(status, fields);
            for (const std::string &body : {std::string(), inner}) {
                EXPECT_FALSE(askCut(head + body, Ending::Close)) << head;
            }
        }
    }
    for (const std::string status : {"100", "103", "199"}) {
        const auto last = askCut(headOf(status, "A: b") + inner, Ending::Close);
        ASSERT_TRUE(last);
        EXPECT_EQ(last->body, "inner");
    }
}

// A line of a service's head has no name that HTTP allows, or begins with a blank. Guards against a
// body with another end than the service's.
TEST(ServiceExchange, NoAnswerIsMadeOfANameThatIsNone)
{
    for (const std::string line : {" Content-Length: 4", "\tContent-Length: 4", "  A: v",
                                   "Content-Length : 4", "A B: v", "A\x01: v", "\x01: v"}) {
        for (const std::string &before : {std::string(), std::string("B: v\r\n")}) {
            const std::string head = headOf("200", before + line);
            EXPECT_FALSE(askCut(head + "body", Ending::Close)) << head;
        }
    }
}

// A service names a length or a coding oddly or more than once. Guards against a body that is
// passed on with a coding that callers are not told of, or with another end.
TEST(ServiceExchange, NoAnswerIsMadeOfAnOddLengthOrCoding)
{
    for (const std::string fields :
         {"Content-Length: 4, 4", "Content-Length: 4\r\nContent-Length: 4", "Content-Length: +4",
          "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip\r\nContent-Length: 4",
          "Content-Length: 4\r\nContent-Encoding: identity\r\nContent-Encoding: gzip"}) {
        const std::string head = headOf("200", fields);
        EXPECT_FALSE(askCut(head + "body", Ending::Close)) << head;
        EXPECT_FALSE(askCut(head + "4\r\nbody\r\n0\r\n\r\n", Ending::Close)) << head;
    }
}

} // namespace
} // namespace vanilladyke
