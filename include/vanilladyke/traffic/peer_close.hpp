#pragma once

#include "vanilladyke/traffic/asio.hpp"

#include <cstddef>
#include <optional>

/// What the kernel knows of a connection that the event loop has not delivered yet.
namespace vanilladyke {

/// @brief Whether the peer has closed its connection or the sending half of it, also where unread
/// bytes lie before the end.
[[nodiscard]] bool hasPeerClosed(Tcp::socket &socket);

/// @brief Bytes written to the socket that the peer's kernel has not acknowledged; none if the
/// system does not tell.
[[nodiscard]] std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &socket);

} // namespace vanilladyke
