#pragma once

// Asio's coroutines in Boost 1.74 use std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "vanilladyke/model/ids.hpp"

/// Asio includes, aliases and helpers for the traffic core, which runs each context on one thread
/// and handles errors as values.
namespace vanilladyke {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// @brief Completion token for co_await that stores a failure in @p error instead of throwing.
[[nodiscard]] inline auto redirectError(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @brief Converts to an Asio endpoint. @param error set if the host is not an IP address
[[nodiscard]] inline Tcp::endpoint toAsio(const Endpoint &endpoint, ErrorCode &error)
{
    return {asio::ip::make_address(endpoint.host, error), endpoint.port};
}

} // namespace vanilladyke
