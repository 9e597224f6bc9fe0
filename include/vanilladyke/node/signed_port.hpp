#pragma once

#include "vanilladyke/node/datagram_signer.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace vanilladyke {

/// @brief A UDP socket for authenticated datagrams between nodes. Datagrams without a valid tag of
/// the fleet key are dropped. Delivery is not guaranteed: a full buffer or an unreachable peer
/// loses a datagram. Runs on the thread of its context.
class SignedPort
{
public:
    using Udp = asio::ip::udp;
    using Receiver = std::function<void(std::string_view message, const Udp::endpoint &from)>;

    SignedPort(asio::io_context &context, Endpoint listen);

    /// @brief Opens the port and passes each message with a valid tag to @p receiver.
    /// @return an error message, or none on success
    [[nodiscard]] std::optional<std::string> open(Receiver receiver);
    void setKey(std::string key) { m_signer.setKey(std::move(key)); }
    [[nodiscard]] bool isReady() const { return m_signer.isReady(); }
    /// @brief Sends the message to each endpoint; without a key nothing is sent.
    void send(std::string_view message, const std::vector<Udp::endpoint> &to);
    [[nodiscard]] const Endpoint &listen() const { return m_listen; }
    /// @return none if the host is not an IP address
    [[nodiscard]] static std::optional<Udp::endpoint> addressOf(const Endpoint &endpoint);

private:
    [[nodiscard]] asio::awaitable<void> receive();

    asio::io_context &m_context;
    Endpoint m_listen;
    DatagramSigner m_signer;
    Udp::socket m_socket;
    Receiver m_receiver;
    std::array<char, 65536> m_buffer{};
};

} // namespace vanilladyke
