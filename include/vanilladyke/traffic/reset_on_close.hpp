#pragma once

#include "vanilladyke/traffic/asio.hpp"

/// Withdraws what a connection still holds when it is closed.
namespace vanilladyke {

/// @brief Sets whether the end of the socket resets its connection, also when the process ends:
/// what the peer's host has not received is lost. Otherwise the kernel still delivers what a link
/// holds back, however late.
inline void setResetOnClose(Tcp::socket &socket, bool resets)
{
    ErrorCode ignored; // of a socket that is closed already
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

} // namespace vanilladyke
