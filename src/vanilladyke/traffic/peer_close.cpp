#include "vanilladyke/traffic/peer_close.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace vanilladyke {

namespace {

/// A host that has closed its socket rejects further bytes within a round trip. One that keeps it
/// without reading answers nothing at all.
constexpr Duration RejectionTime = std::chrono::milliseconds(250);
constexpr Duration RejectionPollInterval = std::chrono::milliseconds(5);

/// @return those of the events that hold now
short eventsOf(Tcp::socket &socket, short events)
{
    pollfd watched{socket.native_handle(), events, 0};
    constexpr int NoWait = 0;
    return poll(&watched, 1, NoWait) > 0 ? watched.revents : short{0};
}

} // namespace

bool hasPeerClosed(Tcp::socket &socket)
{
    return (eventsOf(socket, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool wasReset(Tcp::socket &socket)
{
    // After an orderly end of the peer's half this one is still open, which is no hang-up.
    return (eventsOf(socket, 0) & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

asio::awaitable<bool> endedInOrder(Tcp::socket &socket, const bool &isWriting,
                                   const bool &hasWriteFailed)
{
    const TimePoint until = MonotonicClock::now() + RejectionTime;
    asio::steady_timer timer(socket.get_executor());
    while (socket.is_open() && !hasWriteFailed && !wasReset(socket)
           && (isWriting || unacknowledgedBytes(socket).value_or(0) > 0)
           && MonotonicClock::now() < until) {
        timer.expires_after(RejectionPollInterval);
        ErrorCode ignored;
        co_await timer.async_wait(redirectError(ignored));
    }
    co_return socket.is_open() && !hasWriteFailed && !wasReset(socket);
}

std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &socket)
{
    int bytes = 0;
    if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace vanilladyke
