#pragma once

#include "vanilladyke/node/peer_seal.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <set>

/// Tells other nodes what this one has waiting at each backend server, and hears it from them.
///
/// Load pattern: each of six nodes sends a sixth of the long prompts. From its own requests a node
/// knows a sixth of what waits at an engine, and servers tell theirs only with answers; nodes then
/// agree by chance on an engine that is busy already. Datagrams, since old news is worth nothing:
/// one that is lost is made up for by the next. They only steer; no promise rests on them.
namespace vanilladyke {

/// @brief One node's part. Lives on the traffic thread.
class LoadSharing
{
public:
    /// Between two tellings, for up to NodesAtFullRate nodes; more nodes tell in proportion less
    /// often, so that what a node sends and hears in a second stays the same.
    static constexpr Duration Interval = std::chrono::milliseconds(80);
    static constexpr std::size_t NodesAtFullRate = 9;
    /// A prompt that takes an engine a tenth of a second is told at once, as far as this allows.
    static constexpr std::int64_t MostSendsPerSecond = 900;

    /// @brief A node was heard of: its name and data centre as hashes, where it answers questions.
    using HeardNode = std::function<void(std::uint64_t, std::uint64_t, Endpoint)>;

    /// @param questionsPort where this node answers questions of others
    LoadSharing(TrafficState &state, Endpoint listen, std::uint16_t questionsPort);

    /// @brief Opens the port. @return what failed, or none
    [[nodiscard]] std::optional<std::string> open();
    void setPeers(const std::vector<Endpoint> &peers);
    void setKey(std::string key) { m_seal.setKey(std::move(key)); }
    HeardNode heardNode = [](std::uint64_t, std::uint64_t, const Endpoint &) {};
    /// @brief Sends if it is time to.
    void step(TimePoint now);
    /// @brief Sends at once, for news that must not wait.
    void tell(TimePoint now);

private:
    using Udp = asio::ip::udp;

    [[nodiscard]] asio::awaitable<void> receive();
    void take(std::string_view datagram, const Udp::endpoint &from);
    void noteNode(std::uint64_t node, std::uint64_t dataCentre, Endpoint questions, TimePoint now);

    TrafficState &m_state;
    Endpoint m_listen;
    std::uint16_t m_questionsPort;
    std::uint64_t m_self;
    std::uint64_t m_dataCentre; ///< hash of its name
    PeerSeal m_seal;
    std::uint64_t m_sequence; ///< begins with the time of start, so that a restart goes on above it
    Udp::socket m_socket;
    std::vector<Udp::endpoint> m_peers;
    std::unordered_map<std::uint64_t, std::uint64_t> m_heard; ///< newest sequence of each node
    std::unordered_map<std::uint64_t, TimePoint> m_noted;     ///< when it was passed on last
    std::array<char, 65536> m_buffer{};
    TimePoint m_nextAt;
    TimePoint m_toldAt;
};

} // namespace vanilladyke
