#pragma once

#include <string>
#include <vector>
#include <zmq.hpp>

namespace vanilladyke {

/// @brief Answers ZeroMQ's question, asked by the ZAP protocol (ZeroMQ RFC 27), whether a client
/// key may connect.
class CurveGate
{
public:
    CurveGate(zmq::context_t &context, std::vector<std::string> acceptedKeys);

    /// @brief To be polled together with the other sockets.
    [[nodiscard]] zmq::socket_ref socket() { return m_socket; }
    /// @brief Answers one question that is waiting.
    void answer();

private:
    [[nodiscard]] bool accepts(const std::string &binaryKey) const;

    zmq::socket_t m_socket;
    std::vector<std::string> m_acceptedKeys;
};

} // namespace vanilladyke
