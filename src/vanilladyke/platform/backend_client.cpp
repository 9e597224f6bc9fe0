#include "vanilladyke/platform/backend_client.hpp"

#include <httplib.h>

namespace vanilladyke {

std::unique_ptr<httplib::Client> makeBackendClient(const Endpoint &backend, const BackendTls &tls)
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

bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::SSLConnection || error == httplib::Error::SSLLoadingCerts
           || error == httplib::Error::SSLServerVerification;
}

} // namespace vanilladyke
