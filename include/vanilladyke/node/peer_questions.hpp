#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/peer_seal.hpp"
#include "vanilladyke/node/state_follower.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <memory>
#include <unordered_map>

namespace vanilladyke {

/// @brief Questions of nodes to the one that reads the store for them, by datagrams. Runs on the
/// control thread.
class PeerQuestions
{
public:
    /// Nodes of one data centre answer in milliseconds, one with little processor in some dozens.
    static constexpr Duration AnswerTime = std::chrono::milliseconds(250);

    PeerQuestions(asio::io_context &context, const StateFollower &follower, Endpoint listen,
                  std::uint64_t seed);

    /// @brief Opens the port. @return what failed, or none
    [[nodiscard]] std::optional<std::string> open();
    void setKey(std::string key) { m_seal.setKey(std::move(key)); }
    [[nodiscard]] asio::awaitable<std::optional<SharedNews>>
    ask(Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext);

private:
    using Udp = asio::ip::udp;
    struct Waiting
    {
        asio::steady_timer timer;
        std::optional<SharedNews> news;
    };

    [[nodiscard]] asio::awaitable<void> receive();
    void take(std::string_view datagram, const Udp::endpoint &from);

    asio::io_context &m_context;
    const StateFollower &m_follower;
    Endpoint m_listen;
    Random m_random;
    PeerSeal m_seal;
    Udp::socket m_socket;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting; ///< by question
    std::array<char, 65536> m_buffer{};
};

} // namespace vanilladyke
