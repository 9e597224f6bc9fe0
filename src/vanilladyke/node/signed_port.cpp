#include "vanilladyke/node/signed_port.hpp"

namespace vanilladyke {

SignedPort::SignedPort(asio::io_context &context, Endpoint listen)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_socket(context)
{}

std::optional<SignedPort::Udp::endpoint> SignedPort::addressOf(const Endpoint &endpoint)
{
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    return error ? std::nullopt : std::optional(Udp::endpoint(address, endpoint.port));
}

std::optional<std::string> SignedPort::open(Receiver receiver)
{
    const auto endpoint = addressOf(m_listen);
    if (!endpoint) {
        return m_listen.str() + ": not an IP address";
    }
    ErrorCode error;
    m_socket.open(endpoint->protocol(), error);
    if (!error) {
        m_socket.bind(*endpoint, error);
    }
    if (error) {
        return m_listen.str() + ": " + error.message();
    }
    m_socket.non_blocking(true, error);
    m_receiver = std::move(receiver);
    asio::co_spawn(m_context, receive(), asio::detached);
    return std::nullopt;
}

void SignedPort::send(std::string_view message, const std::vector<Udp::endpoint> &to)
{
    if (!isReady()) {
        return;
    }
    const std::string datagram = m_signer.sign(message);
    for (const Udp::endpoint &each : to) {
        ErrorCode ignored;
        m_socket.send_to(asio::buffer(datagram), each, 0, ignored);
    }
}

asio::awaitable<void> SignedPort::receive()
{
    for (;;) {
        ErrorCode error;
        Udp::endpoint from;
        const std::size_t size = co_await m_socket.async_receive_from(asio::buffer(m_buffer), from,
                                                                      redirectError(error));
        if (!m_socket.is_open()) {
            co_return;
        }
        const auto message = m_signer.verify({m_buffer.data(), error ? 0 : size});
        if (message) {
            m_receiver(*message, from);
        }
    }
}

} // namespace vanilladyke
