#include "vanilladyke/platform/backend_client.hpp"

#include <httplib.h>

#include <sys/socket.h>

namespace vanilladyke {

namespace {

/// What a call has sent is lost when it ends before its answer. In an orderly close the kernel
/// would deliver what a link holds back, however late: an order after a newer one.
void resetOnClose(socket_t socket)
{
    httplib::default_socket_options(socket);
    const linger reset{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

std::unique_ptr<httplib::Client> makeClient(const Endpoint &backend, const BackendTls &tls)
{
    if (!tls.enabled()) {
        return std::make_unique<httplib::Client>(backend.host, backend.port);
    }
    const bool version6 = backend.host.find(':') != std::string::npos;
    const std::string host = version6 ? "[" + backend.host + "]" : backend.host;
    auto client = std::make_unique<httplib::Client>("https://" + host + ":"
                                                    + std::to_string(backend.port));
    client->set_ca_cert_path(tls.authorityFile);
    client->enable_server_certificate_verification(true);
    return client;
}

} // namespace

std::unique_ptr<httplib::Client> makeBackendClient(const Endpoint &backend, const BackendTls &tls)
{
    auto client = makeClient(backend, tls);
    client->set_socket_options(resetOnClose);
    return client;
}

bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::SSLConnection || error == httplib::Error::SSLLoadingCerts
           || error == httplib::Error::SSLServerVerification;
}

} // namespace vanilladyke
