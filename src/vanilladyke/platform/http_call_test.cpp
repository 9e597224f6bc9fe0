#include "vanilladyke/platform/http_call.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

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

} // namespace
} // namespace vanilladyke
