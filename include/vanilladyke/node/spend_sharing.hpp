#pragma once

#include "vanilladyke/node/signed_port.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <unordered_map>

/// Tells other nodes what this node admitted of customers with a quota, and applies what they tell;
/// see fleet_quota.hpp.
///
/// Datagrams may be lost, and overtake each other where another node forwards them. Each message
/// therefore repeats what the one before said, and is applied by its number.
namespace vanilladyke {

namespace wire {
class Spends;
} // namespace wire

/// @brief The messages of one node on quotas. Runs on the traffic thread.
class SpendSharing
{
public:
    using Udp = SignedPort::Udp;
    /// @brief Sends a message to an endpoint.
    using Send = std::function<void(const wire::Spends &, const Udp::endpoint &)>;

    /// Interval at which a process that has just started asks for the levels of accounts.
    static constexpr Duration AskInterval = std::chrono::milliseconds(100);
    /// Most customers in one answer, so that it fits into a datagram.
    static constexpr std::size_t MaxLevels = 2000;
    /// Nodes that answer, on average. One answer is enough, and each may be lost.
    static constexpr double Answers = 3;

    SpendSharing(TrafficState &state, Send send);

    /// @brief Whether there is anything to tell, also what was told only once.
    [[nodiscard]] bool hasUpdates(TimePoint now) const;
    /// @brief Whether that has to be told now.
    [[nodiscard]] bool isDue(TimePoint now) const;
    /// @brief Writes what there is to tell; the next message repeats it.
    void write(TimePoint now, wire::Spends *out);
    /// @param origin the node that wrote the message; another one may have forwarded it
    void receive(const wire::Spends &message, const std::optional<Udp::endpoint> &origin,
                 TimePoint now);

private:
    [[nodiscard]] bool mayAsk(TimePoint now) const;
    void answer(const Udp::endpoint &origin, TimePoint now);

    TrafficState &m_state;
    Send m_send;
    TimePoint m_askedAt;
    std::uint64_t m_sequence; ///< starts at the wall-clock time, so that a restart continues above
    std::vector<SpendUpdate> m_previous;
    std::unordered_map<std::uint64_t, std::uint64_t> m_received; ///< newest sequence of each node
};

} // namespace vanilladyke
