#pragma once

#include "vanilladyke/traffic/asio.hpp"

#include "vanilladyke/base/time.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/// Withdraws what a connection still holds when it is closed, or when its peer's host has been
/// silent for too long.
namespace vanilladyke {

/// @brief Sets whether the end of the socket resets its connection, also when the process ends:
/// what the peer's host has not received is lost. Otherwise the kernel still delivers what a link
/// holds back, however late.
inline void setResetOnClose(Tcp::socket &socket, bool resets)
{
    ErrorCode ignored; // of a socket that is closed already
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

/// @brief Ends the connection if the peer's host doesn't acknowledge sent bytes for @p silence
/// (TCP_USER_TIMEOUT): they are lost. The kernel does so even while the process stands still, when
/// a deadline of its own has no effect and the kernel would deliver the bytes once a cut link has
/// healed.
inline void setMaxUnacknowledged(Tcp::socket &socket, Duration silence)
{
    const auto millis = static_cast<unsigned>(
            std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
    // A failure is ignored: without the option the caller's deadline still applies.
    static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
                                   sizeof millis));
}

} // namespace vanilladyke
