#include "vanilladyke/traffic/peer_close.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace vanilladyke {

bool hasPeerClosed(Tcp::socket &socket)
{
    pollfd watched{socket.native_handle(), POLLRDHUP, 0};
    constexpr int NoWait = 0;
    return poll(&watched, 1, NoWait) > 0
           && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
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
