#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <memory>
#include <string>

namespace httplib {
class Client;
enum class Error;
} // namespace httplib

/// HTTP clients towards backend servers, plain or with TLS.
namespace vanilladyke {

/// @brief How backend servers are reached.
struct BackendTls
{
    std::string authorityFile; ///< PEM file of the authorities that sign them; empty: no TLS

    [[nodiscard]] bool enabled() const { return !authorityFile.empty(); }
};

/// @brief A client of one backend server. With TLS its certificate must be signed by an authority
/// of the file and name the endpoint's IP number.
[[nodiscard]] std::unique_ptr<httplib::Client> makeBackendClient(const Endpoint &backend,
                                                                 const BackendTls &tls);

/// @brief Whether a call that ended with this error left no byte on the way: no connection, or a
/// handshake that failed.
[[nodiscard]] bool failedBeforeSending(httplib::Error error);

} // namespace vanilladyke
