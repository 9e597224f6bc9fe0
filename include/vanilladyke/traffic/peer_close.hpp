#pragma once

#include "vanilladyke/traffic/asio.hpp"

#include "vanilladyke/base/time.hpp"

#include <cstddef>
#include <optional>

/// What the kernel knows of a connection that the event loop has not delivered yet.
namespace vanilladyke {

/// @brief Whether the peer has closed its connection or the sending half of it, also where unread
/// bytes lie before the end.
[[nodiscard]] bool hasPeerClosed(Tcp::socket &socket);

/// @brief Whether the connection was reset, also where another call has taken the kernel's only
/// report of it, or where the end of the peer's half came first.
[[nodiscard]] bool wasReset(Tcp::socket &socket);

/// @brief Whether the peer ended the connection in order: it did not reset it, nor does it reject
/// the rest of what this host sends. Waits for the answer to bytes that are on their way.
/// @param isWriting whether bytes are still being written
/// @param hasWriteFailed whether a write has failed
/// @return false also if this host has closed the socket
[[nodiscard]] asio::awaitable<bool> endedInOrder(Tcp::socket &socket, const bool &isWriting,
                                                 const bool &hasWriteFailed);

/// @brief Bytes written to the socket that the peer's kernel has not acknowledged; none if the
/// system does not tell.
[[nodiscard]] std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &socket);

} // namespace vanilladyke
