#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <memory>
#include <string>

namespace httplib {
class Client;
enum class Error;
} // namespace httplib

/// HTTP clients for backend servers, with or without TLS.
namespace vanilladyke {

/// @brief TLS settings for connections to backend servers.
struct BackendTls
{
    std::string authorityFile; ///< PEM file of the trusted certificate authorities; empty: no TLS

    [[nodiscard]] bool enabled() const { return !authorityFile.empty(); }
};

/// @brief Creates a client for one backend server. With TLS, the server's certificate must be
/// signed by one of the trusted authorities and contain the endpoint's IP address. The client's
/// connections are reset when they are closed, so that a call that was given up isn't delivered
/// later.
[[nodiscard]] std::unique_ptr<httplib::Client> makeBackendClient(const Endpoint &backend,
                                                                 const BackendTls &tls);

/// @brief Whether the error shows that no byte of the request was sent: the connection or the TLS
/// handshake failed.
[[nodiscard]] bool failedBeforeSending(httplib::Error error);

} // namespace vanilladyke
