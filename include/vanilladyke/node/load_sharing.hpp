#pragma once

#include "vanilladyke/node/origin_sharing.hpp"
#include "vanilladyke/node/place_sharing.hpp"
#include "vanilladyke/node/signed_port.hpp"
#include "vanilladyke/node/spend_sharing.hpp"
#include "vanilladyke/policy/update_routes.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

/// Exchanges load updates with other nodes: each node sends its backlog at each backend server.
///
/// Load pattern: each of six nodes sends a sixth of the long prompts. Its own requests show a node
/// only a sixth of an engine's backlog, and servers report theirs only with answers, so that
/// several nodes can choose an engine that is already busy. Updates are datagrams, since an old
/// update is useless and the next one replaces one that is lost. They only steer requests; no
/// guarantee depends on them.
namespace vanilladyke {

namespace wire {
class NodeLoad;
} // namespace wire

/// @brief Sends and receives the load updates of one node. Runs on the traffic thread.
class LoadSharing
{
public:
    /// Interval between two updates, for up to NodesAtFullRate nodes. With more nodes it grows in
    /// proportion, so that the number of datagrams per node and second stays the same.
    static constexpr Duration Interval = std::chrono::milliseconds(80);
    static constexpr std::size_t NodesAtFullRate = 9;
    /// Part by which a single interval may be shorter or longer.
    static constexpr double IntervalSpread = 0.2;
    /// Upper bound of the datagrams sent per second. Within it, the placement of a prompt with a
    /// prefill time of 100 ms is sent at once.
    static constexpr std::int64_t MaxSendsPerSecond = 900;

    /// @brief A node was seen: hashes of its name and data centre, and the endpoint where it
    /// answers requests for updates.
    using NodeSeen = std::function<void(std::uint64_t, std::uint64_t, Endpoint)>;

    /// @param queriesPort port on which this node answers requests of other nodes
    LoadSharing(TrafficState &state, Endpoint listen, std::uint16_t queriesPort);

    /// @brief Opens the port. @return an error message, or none on success
    [[nodiscard]] std::optional<std::string> open();
    void setPeers(const std::vector<Endpoint> &peers);
    void setKey(std::string key) { m_port.setKey(std::move(key)); }
    NodeSeen nodeSeen = [](std::uint64_t, std::uint64_t, const Endpoint &) {};
    /// @brief Another node has read the operator's records up to a higher offset than any before,
    /// in this era of the store, which it has known for so long.
    std::function<void(std::uint64_t era, Duration knownFor, std::uint64_t next)>
            receivedOperatorNext = [](std::uint64_t, Duration, std::uint64_t) {};
    /// @brief Sends an update if one is due.
    void step(TimePoint now);
    /// @brief Sends an update at the next step, at most as often as placement updates: an engine
    /// state that changes many times a second must not saturate the link and CPU of a small host.
    void sendSoon() { m_hasUrgentUpdate = true; }
    /// @brief Sends an update now.
    void sendUpdate(TimePoint now);
    /// @brief The origins of streams, which are sent through the same port.
    [[nodiscard]] OriginSharing &origins() { return m_origins; }
    /// @brief The places at brittle engines, which are granted through the same port.
    [[nodiscard]] PlaceSharing &places() { return m_places; }

private:
    using Udp = SignedPort::Udp;
    /// A node from which an update was received.
    struct Peer
    {
        std::uint64_t sequence = 0; ///< of the newest update
        TimePoint at;
        TimePoint reportedAt; ///< last reported to the control thread
    };
    /// A node without an update for this long is dropped.
    static constexpr Duration PeerExpiry = std::chrono::minutes(1);

    void receive(std::string_view bytes, const Udp::endpoint &from);
    void dropExpired(TimePoint now);
    /// Interval of updates that are not urgent.
    [[nodiscard]] Duration regularInterval() const;
    /// The longest time between two of them.
    [[nodiscard]] Duration longestInterval() const;
    /// Time until the next of them.
    [[nodiscard]] Duration nextInterval();
    /// Minimum interval of urgent updates, which bounds the datagrams per second.
    [[nodiscard]] Duration spacing() const;
    /// Counts nodes that are not in the list too, since they share the fleet's limits.
    void countPeers();
    void forward(wire::NodeLoad message);
    /// Sends a message to all other nodes, through those that forward it in their data centres.
    void sendToAll(wire::NodeLoad message, TimePoint now);
    /// Tells what was admitted of quotas, without waiting for the next update.
    void sendSpends(TimePoint now);
    void applyLimits(const wire::NodeLoad &message, TimePoint now);
    void applyLeaving(const wire::NodeLoad &message, TimePoint now);
    void applyBrittle(const wire::NodeLoad &message, TimePoint now);
    void applyQuarantined(const wire::NodeLoad &message, TimePoint now);

    TrafficState &m_state;
    SignedPort m_port;
    std::uint16_t m_queriesPort;
    std::uint64_t m_self;
    std::uint64_t m_dataCentre; ///< hash of its name
    std::uint64_t m_sequence; ///< starts at the wall-clock time, so that a restart continues above
    UpdateRoutes<Udp::endpoint> m_routes;
    OriginSharing m_origins;
    PlaceSharing m_places;
    SpendSharing m_spends;
    std::unordered_map<std::uint64_t, Peer> m_peers;
    TimePoint m_nextAt;
    TimePoint m_sentAt;
    TimePoint m_weightsSentAt;
    /// Highest era of the store, and offset in it, up to which another node has read.
    std::pair<std::uint64_t, std::uint64_t> m_highestRead;
    bool m_hasUrgentUpdate = false;
};

} // namespace vanilladyke
