#pragma once

#include "vanilladyke/node/peer_seal.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace vanilladyke {

/// @brief A port for datagrams of nodes. What the fleet's key did not seal is dropped; a full
/// buffer or a peer that is gone loses a datagram, as the network may. Lives on its context's
/// thread.
class SealedPort
{
public:
    using Udp = asio::ip::udp;
    using Receiver = std::function<void(std::string_view message, const Udp::endpoint &from)>;

    SealedPort(asio::io_context &context, Endpoint listen);

    /// @brief Opens the port; every message that comes from then on goes to @p receiver.
    /// @return what failed, or none
    [[nodiscard]] std::optional<std::string> open(Receiver receiver);
    void setKey(std::string key) { m_seal.setKey(std::move(key)); }
    [[nodiscard]] bool isReady() const { return m_seal.isReady(); }
    /// @brief Sends the message to each of them; nothing without the key.
    void send(std::string_view message, const std::vector<Udp::endpoint> &to);
    [[nodiscard]] const Endpoint &listen() const { return m_listen; }
    /// @return none if the host is no IP number
    [[nodiscard]] static std::optional<Udp::endpoint> addressOf(const Endpoint &endpoint);

private:
    [[nodiscard]] asio::awaitable<void> receive();

    asio::io_context &m_context;
    Endpoint m_listen;
    PeerSeal m_seal;
    Udp::socket m_socket;
    Receiver m_receiver;
    std::array<char, 65536> m_buffer{};
};

} // namespace vanilladyke
