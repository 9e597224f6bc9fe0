#pragma once

#include "vanilladyke/node/signed_port.hpp"
#include "vanilladyke/policy/origin_homes.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

/// Exchanges with other nodes which software version began a stream; see stream_origins.hpp.
namespace vanilladyke {

namespace wire {
class StreamOrigins;
} // namespace wire

/// @brief Tells the homes of a stream its origin, and asks them. Runs on the traffic thread.
class OriginSharing
{
public:
    using Udp = SignedPort::Udp;
    /// @brief Sends a message to each endpoint.
    using Send =
            std::function<void(const wire::StreamOrigins &, const std::vector<Udp::endpoint> &)>;

    /// Time limit of a question. Nodes answer within milliseconds; a caller that comes back waits
    /// for it.
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(150);
    /// The question is repeated after this time, as datagrams may be lost.
    static constexpr Duration RepeatAfter = std::chrono::milliseconds(50);

    OriginSharing(TrafficState &state, Send send);

    void setPeers(const std::vector<Udp::endpoint> &peers);
    void nodeSeen(const Udp::endpoint &node, TimePoint now) { m_homes.nodeSeen(node, now); }
    /// @brief Tells the homes of a stream that has just begun. Returns when the message was handed
    /// to the socket.
    void tell(const StreamOrigin &origin);
    /// @brief Tells the homes of all streams that this node knows: a second version was listed.
    void tellAll();
    /// @brief Asks the homes of an attempt. Ends with the first that knows its origin, or when all
    /// have answered, or after AnswerTimeout.
    [[nodiscard]] asio::awaitable<OriginReport> ask(OriginQuery query);
    void receive(const wire::StreamOrigins &message, const Udp::endpoint &from);

private:
    struct Question
    {
        asio::steady_timer timer;
        OriginReport report;
        std::size_t asked = 0;
        std::vector<Udp::endpoint> answered;

        [[nodiscard]] bool isDone() const;
    };

    [[nodiscard]] std::vector<Udp::endpoint> homesOf(std::uint64_t attempt, std::size_t most,
                                                     TimePoint now) const;
    void answer(const wire::StreamOrigins &message, const Udp::endpoint &from);
    void receiveAnswer(const wire::StreamOrigins &message, const Udp::endpoint &from);

    TrafficState &m_state;
    Send m_send;
    OriginHomes<Udp::endpoint> m_homes;
    std::unordered_map<std::uint64_t, std::shared_ptr<Question>> m_questions;
};

} // namespace vanilladyke
