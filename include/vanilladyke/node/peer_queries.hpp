#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/signed_port.hpp"
#include "vanilladyke/node/state_follower.hpp"

#include <memory>
#include <unordered_map>

namespace vanilladyke {

/// @brief Requests of nodes to the node that reads the store for them, and their answers, as
/// datagrams. Runs on the control thread.
class PeerQueries
{
public:
    /// Time limit of an answer. Nodes of one data centre answer within milliseconds, one with
    /// little CPU within a few dozen.
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(250);

    PeerQueries(asio::io_context &context, const StateFollower &follower, Endpoint listen,
                std::uint64_t seed);

    /// @brief Opens the port. @return an error message, or none on success
    [[nodiscard]] std::optional<std::string> open();
    void setKey(std::string key) { m_port.setKey(std::move(key)); }
    /// @brief Requests updates from the offsets on.
    /// @return none if the peer doesn't answer within AnswerTimeout
    [[nodiscard]] asio::awaitable<std::optional<SharedUpdates>>
    ask(Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext);

private:
    using Udp = SignedPort::Udp;
    struct PendingRequest
    {
        asio::steady_timer timer;
        std::optional<SharedUpdates> updates;
    };

    void receive(std::string_view bytes, const Udp::endpoint &from);

    asio::io_context &m_context;
    const StateFollower &m_follower;
    Random m_random;
    SignedPort m_port;
    /// By request number.
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> m_pending;
};

} // namespace vanilladyke
