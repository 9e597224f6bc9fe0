#pragma once

#include "vanilladyke/node/sealed_port.hpp"
#include "vanilladyke/policy/update_routes.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

/// Tells other nodes what this one has waiting at each backend server, and hears it from them.
///
/// Load pattern: each of six nodes sends a sixth of the long prompts. From its own requests a node
/// knows a sixth of what waits at an engine, and servers tell theirs only with answers; nodes then
/// agree by chance on an engine that is busy already. Datagrams, since old news is worth nothing:
/// one that is lost is made up for by the next. They only steer; no promise rests on them.
namespace vanilladyke {

namespace wire {
class NodeLoad;
} // namespace wire

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
    void setKey(std::string key) { m_port.setKey(std::move(key)); }
    HeardNode heardNode = [](std::uint64_t, std::uint64_t, const Endpoint &) {};
    /// @brief Another node knows the operator's records up to a higher offset than any before it.
    std::function<void(std::uint64_t)> heardOperatorNext = [](std::uint64_t) {};
    /// @brief Sends if it is time to.
    void step(TimePoint now);
    /// @brief Sends at the next step, at most as often as news of placements: an engine's state
    /// that changes many times a second must not take the link and the processor of a small host.
    void tellSoon() { m_hasUrgentNews = true; }
    void tell(TimePoint now);

private:
    using Udp = SealedPort::Udp;
    /// A node that was heard of.
    struct Heard
    {
        std::uint64_t sequence = 0; ///< the newest
        TimePoint at;
        TimePoint passedOnAt; ///< to the control thread
    };
    /// One that was silent for so long is forgotten.
    static constexpr Duration HeardLife = std::chrono::minutes(1);

    void take(std::string_view bytes, const Udp::endpoint &from);
    void forgetSilent(TimePoint now);
    /// A node that the list does not have takes its share of what all nodes may do.
    void countPeers();
    void passOn(wire::NodeLoad message);
    void takeLimits(const wire::NodeLoad &message, TimePoint now);
    void takeQuarantined(const wire::NodeLoad &message, TimePoint now);

    TrafficState &m_state;
    SealedPort m_port;
    std::uint16_t m_questionsPort;
    std::uint64_t m_self;
    std::uint64_t m_dataCentre; ///< hash of its name
    std::uint64_t m_sequence; ///< begins with the time of start, so that a restart goes on above it
    UpdateRoutes<Udp::endpoint> m_routes;
    std::unordered_map<std::uint64_t, Heard> m_heard;
    TimePoint m_nextAt;
    TimePoint m_toldAt;
    TimePoint m_weightsToldAt;
    std::uint64_t m_heardOperatorNext = 0;
    bool m_hasUrgentNews = false;
};

} // namespace vanilladyke
