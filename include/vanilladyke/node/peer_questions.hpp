#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/sealed_port.hpp"
#include "vanilladyke/node/state_follower.hpp"

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
    void setKey(std::string key) { m_port.setKey(std::move(key)); }
    [[nodiscard]] asio::awaitable<std::optional<SharedNews>>
    ask(Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext);

private:
    using Udp = SealedPort::Udp;
    struct Waiting
    {
        asio::steady_timer timer;
        std::optional<SharedNews> news;
    };

    void take(std::string_view bytes, const Udp::endpoint &from);

    asio::io_context &m_context;
    const StateFollower &m_follower;
    Random m_random;
    SealedPort m_port;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting; ///< by question
};

} // namespace vanilladyke
