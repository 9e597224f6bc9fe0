#include "vanilladyke/platform/http_call.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <thread>

namespace vanilladyke {
namespace {

/// A server that accepts connections in its kernel alone and reads nothing until it is told to.
class SilentServer
{
public:
    SilentServer()
    {
        // A small window: most of a long call stays with its sender.
        const int bytes = 4096;
        ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), length), 0);
        EXPECT_EQ(::listen(m_listener, 1), 0);
        EXPECT_EQ(::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length), 0);
        m_port = ntohs(address.sin_port);
    }
    SilentServer(const SilentServer &) = delete;
    SilentServer &operator=(const SilentServer &) = delete;
    ~SilentServer() { ::close(m_listener); }

    [[nodiscard]] Endpoint endpoint() const { return {"127.0.0.1", m_port}; }

    [[nodiscard]] int accept() const { return ::accept(m_listener, nullptr, nullptr); }
    /// @brief Reads the first connection to its end. @return errno of the end; 0: closed in order
    int readToEnd()
    {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        do {
            count = ::recv(connection, buffer.data(), buffer.size(), 0);
        } while (count > 0);
        const int error = count < 0 ? errno : 0;
        ::close(connection);
        return error;
    }

private:
    int m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t m_port = 0;
};

// A call is given up while a link holds its bytes back. Guards against a kernel that delivers them
// later: an order to an engine could then arrive after a newer one.
TEST(HttpCaller, ACallThatIsGivenUpResetsItsConnection)
{
    SilentServer server;
    HttpCaller caller(server.endpoint());
    const std::string body(8U << 20U, 'x');
    const auto answer = caller.post("/order", body, "text/plain",
                                    MonotonicClock::now() + std::chrono::milliseconds(400));
    ASSERT_FALSE(answer);
    EXPECT_TRUE(answer.error().sent);
    EXPECT_EQ(server.readToEnd(), ECONNRESET);
}

/// Reads a call's first bytes and sends bytes, once or until the other side closes.
class BrokenServer
{
public:
    BrokenServer(std::string first, std::string junk)
        : m_first(std::move(first))
        , m_junk(std::move(junk))
        , m_thread([this] { serve(); })
    {}
    BrokenServer(const BrokenServer &) = delete;
    BrokenServer &operator=(const BrokenServer &) = delete;
    ~BrokenServer() { m_thread.join(); }

    [[nodiscard]] Endpoint endpoint() const { return m_server.endpoint(); }
    [[nodiscard]] std::size_t sent() const { return m_sent; }

private:
    void serve()
    {
        constexpr std::size_t MostSent = 256U << 20U; // the test's own memory, if nothing ends it
        const int connection = m_server.accept();
        std::array<char, 4096> call{};
        static_cast<void>(::recv(connection, call.data(), call.size(), 0));
        bool isOpen = send(connection, m_first);
        while (isOpen && !m_junk.empty() && m_sent < MostSent) {
            isOpen = send(connection, m_junk);
        }
        ::close(connection);
    }

    bool send(int connection, const std::string &bytes)
    {
        const ssize_t count = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        m_sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        return count > 0;
    }

    SilentServer m_server;
    std::string m_first;
    std::string m_junk;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_thread;
};

constexpr std::size_t MostTaken = 32U << 20U; ///< what a node may spend on control

std::size_t takenOf(const std::string &first, const std::string &junk)
{
    std::size_t taken = 0;
    {
        BrokenServer server(first, junk);
        HttpCaller caller(server.endpoint());
        static_cast<void>(caller.get("/x", MonotonicClock::now() + std::chrono::seconds(5)));
        taken = server.sent();
    }
    return taken;
}

// A server in trouble sends a status that HTTP doesn't define, or an informational one alone.
// Guards against a write or an order that counts as refused, though it may have been carried out.
TEST(HttpCaller, NoAnswerIsMadeOfAStatusThatIsNone)
{
    for (const std::string status : {"000", "099", "101", "103", "600", "999"}) {
        const BrokenServer server("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}", "");
        HttpCaller caller(server.endpoint());
        EXPECT_FALSE(caller.get("/x", MonotonicClock::now() + std::chrono::seconds(5))) << status;
    }
}

// A line of the head begins with a blank, or a name holds one.
TEST(HttpCaller, NoAnswerIsMadeOfANameThatIsNone)
{
    for (const std::string line : {" Content-Length: 2", "Content-Length : 2", "A B: v"}) {
        const BrokenServer server("HTTP/1.1 200 OK\r\nB: v\r\n" + line + "\r\n\r\n{}", "");
        HttpCaller caller(server.endpoint());
        EXPECT_FALSE(caller.get("/x", MonotonicClock::now() + std::chrono::seconds(5))) << line;
    }
}

// A server sends a body without end. Guards against a process that keeps it and outgrows its
// memory.
TEST(HttpCaller, ABodyWithoutEndIsGivenUp)
{
    EXPECT_LE(takenOf("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x')), MostTaken);
}

// As above, a line of the head.
TEST(HttpCaller, AHeadWithoutEndIsGivenUp)
{
    EXPECT_LE(takenOf("HTTP/1.1 200 OK\r\nA: ", std::string(65536, 'x')), MostTaken);
}

} // namespace
} // namespace vanilladyke
