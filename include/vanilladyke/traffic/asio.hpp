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

/// Asio as the traffic core uses it: one thread for each context, errors as values.
namespace vanilladyke {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// @brief Completes a coroutine's wait with the error in @p error instead of an exception.
[[nodiscard]] inline auto into(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @brief The address in Asio's form; none if the host is no IP number.
[[nodiscard]] inline Tcp::endpoint toAsio(const Endpoint &endpoint, ErrorCode &error)
{
    return {asio::ip::make_address(endpoint.host, error), endpoint.port};
}

} // namespace vanilladyke
