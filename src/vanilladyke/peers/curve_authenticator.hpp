#pragma once

#include <string>
#include <vector>
#include <zmq.hpp>

namespace vanilladyke {

/// @brief ZAP handler (ZeroMQ RFC 27) that accepts or rejects connections by their CURVE client
/// key.
class CurveAuthenticator
{
public:
    CurveAuthenticator(zmq::context_t &context, std::vector<std::string> acceptedKeys);

    /// @brief Socket to poll for ZAP requests.
    [[nodiscard]] zmq::socket_ref socket() { return m_socket; }
    /// @brief Answers one pending ZAP request.
    void answer();

private:
    [[nodiscard]] bool accepts(const std::string &binaryKey) const;

    zmq::socket_t m_socket;
    std::vector<std::string> m_acceptedKeys;
};

} // namespace vanilladyke
