#include "vanilladyke/traffic/exchange_fixture.hpp"

#include <boost/asio/read_until.hpp>

namespace vanilladyke {
namespace {

/// Larger than the buffers of both sockets of a connection, so that the rest of it waits.
constexpr std::size_t LongBody = 4U << 20U;

/// How the server ends its connection.
enum class Ending {
    Reset,           ///< resets it
    CloseUnread,     ///< closes it while bytes of the request lie unread
    EndThenReset,    ///< ends its half of it in order and closes it while bytes lie unread
    EndAndReadOn,    ///< ends its half of it in order and reads the request to its end
    EndAndReadNoMore ///< ends its half of it in order and reads nothing further
};

/// Backend server that reads the head of a request, answers at once and ends its connection while
/// the body is still being written.
class EarlyServer
{
public:
    EarlyServer(asio::io_context &context, std::string answer, Ending ending)
        : m_context(context)
        , m_acceptor(context)
        , m_answer(std::move(answer))
        , m_ending(ending)
    {
        constexpr int SmallBuffer = 4096;
        m_acceptor.open(Tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
        m_acceptor.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_acceptor.listen();
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::size_t requests = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            ErrorCode error;
            Tcp::socket socket(m_context);
            co_await m_acceptor.async_accept(socket, redirectError(error));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(Tcp::socket socket)
    {
        ErrorCode error;
        std::string head;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                        redirectError(error));
        if (error) {
            co_return; // a connection without a request, which asks whether the server is there
        }
        ++requests;
        co_await asio::async_write(socket, asio::buffer(m_answer), redirectError(error));
        if (m_ending != Ending::Reset && m_ending != Ending::CloseUnread) {
            socket.shutdown(Tcp::socket::shutdown_send, error);
        }
        if (m_ending == Ending::EndAndReadOn || m_ending == Ending::EndAndReadNoMore) {
            std::string rest(LongBody, ' ');
            while (!error && m_ending == Ending::EndAndReadOn) {
                co_await socket.async_read_some(asio::buffer(rest), redirectError(error));
            }
            m_kept.push_back(std::move(socket));
            co_return;
        }
        if (m_ending == Ending::Reset) {
            const linger reset{1, 0};
            ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        ::close(socket.release());
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    std::string m_answer;
    Ending m_ending;
    std::vector<Tcp::socket> m_kept;
};

class EarlyAnswerTest : public ExchangeTest
{
protected:
    /// Uploads a long body to a server that answers so. @return the status; 0: no whole answer
    int upload(const std::string &bytes, Ending ending)
    {
        m_buffer.clear();
        const EarlyServer server(m_context, bytes, ending);
        BackendEntry entry;
        entry.id = EngineId("early" + std::to_string(++m_uploads));
        entry.service = ServiceId("s");
        entry.endpoint = server.endpoint();
        entry.dataCentre = DataCentreId("here");
        entry.slots = 8;
        m_state.tracker.setBackends({entry});
        connect();
        const std::string request = "POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\n"
                                    "Content-Length: "
                                    + std::to_string(LongBody) + "\r\n\r\n"
                                    + std::string(LongBody, 'u');
        asio::async_write(*m_caller, asio::buffer(request), [](const ErrorCode &, std::size_t) {});
        const int status = receive();
        EXPECT_EQ(server.requests, 1U);
        return status;
    }

    static std::string head(const std::string &version, int status, const std::string &framing)
    {
        return version + " " + std::to_string(status) + " X\r\nId: 1\r\nStamp: s\r\n" + framing
               + "\r\n";
    }

    int m_uploads = 0;
};

const std::vector<std::string> versions{"HTTP/1.1", "HTTP/1.0"};
const std::string event = "id: 1\ndata: d\n\n";

std::string bodyOf(RequestKind kind)
{
    return kind == RequestKind::Stream ? event + "id: 2\ndata: d\n\n" : "the body";
}

// A server answers before it has read a long body, and its connection is reset while the body is
// being written. The kernel reports the reset once, to the write, and the next read then reports
// an orderly end. Guards against a part of an answer that is passed on as the whole.
TEST_F(EarlyAnswerTest, NoAnswerIsMadeOfOneThatAResetEnds)
{
    for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Safe, RequestKind::Stream}) {
        setRoute(kind, kind == RequestKind::Stream, std::chrono::seconds(5),
                 std::chrono::seconds(2), 1);
        const std::string body = bodyOf(kind);
        for (const std::string &version : versions) {
            for (const int status : {200, 404, 500}) {
                const std::string answer = head(version, status, "") + body;
                const std::size_t headBytes = answer.size() - body.size();
                for (const std::size_t bytes :
                     {std::size_t{0}, headBytes / 2, headBytes, headBytes + 1, headBytes + 15,
                      answer.size() - 1, answer.size()}) {
                    for (const Ending ending :
                         {Ending::Reset, Ending::CloseUnread, Ending::EndThenReset}) {
                        const int got = upload(answer.substr(0, bytes), ending);
                        EXPECT_TRUE(got == 0 || got == 502)
                                << got << " for " << static_cast<int>(kind) << " " << version << " "
                                << status << " cut at " << bytes << " of " << answer.size()
                                << " ending " << static_cast<int>(ending);
                    }
                }
            }
        }
    }
}

// As above, with a length or in chunks: what ends early is no answer, what is whole stays one.
TEST_F(EarlyAnswerTest, AnAnswerThatNamesItsEndIsWholeByThat)
{
    setRoute(RequestKind::Unsafe, false);
    const std::string length = head("HTTP/1.1", 200, "Content-Length: 8\r\n") + "the body";
    const std::string chunks =
            head("HTTP/1.1", 200, "Transfer-Encoding: chunked\r\n") + "8\r\nthe body\r\n0\r\n\r\n";
    for (const std::string &answer : {length, chunks}) {
        for (const Ending ending : {Ending::Reset, Ending::CloseUnread, Ending::EndThenReset}) {
            EXPECT_EQ(upload(answer.substr(0, answer.size() - 1), ending), 502);
            const int whole = upload(answer, ending);
            EXPECT_TRUE(whole == 502 || (whole == 200 && m_body == "the body")) << whole;
        }
        EXPECT_EQ(upload(answer, Ending::EndAndReadOn), 200);
        EXPECT_EQ(m_body, "the body");
    }
}

// An answer without a length that ends in order is whole, whether its server reads the rest of the
// request or leaves it.
TEST_F(EarlyAnswerTest, AnAnswerThatEndsInOrderIsWhole)
{
    for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Safe, RequestKind::Stream}) {
        setRoute(kind, false);
        for (const std::string &version : versions) {
            for (const Ending ending : {Ending::EndAndReadOn, Ending::EndAndReadNoMore}) {
                EXPECT_EQ(upload(head(version, 200, "") + bodyOf(kind), ending), 200);
                EXPECT_EQ(m_body, bodyOf(kind));
            }
        }
    }
}

} // namespace
} // namespace vanilladyke
