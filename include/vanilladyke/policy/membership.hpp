#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/gossip_buffer.hpp"
#include "vanilladyke/policy/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

/// Eventually consistent membership: which nodes are alive, known to all nodes within seconds.
///
/// Random probing with gossip, after the SWIM protocol (Das, Gupta, Motivala 2002): each node
/// probes a fixed number of others per second, requests indirect probes from a few nodes if one
/// does not answer, and piggybacks membership updates on these messages. A full mesh of heartbeats
/// among 410 nodes would cost each node 410 messages per period; here the cost per node is the same
/// at 9 and at 410 nodes. A node that is wrongly suspected receives the suspicion and refutes it
/// with a higher revision. Probes are also sent to addresses of dead and of unknown nodes, so that
/// regions join again after a network partition without intervention.
namespace vanilladyke {

/// @brief Timing of the probes.
struct MembershipTiming
{
    Duration probeEvery = std::chrono::milliseconds(500);
    /// Round trips take 3 ms between data centres and up to about 200 ms between regions.
    Duration answerWithin = std::chrono::milliseconds(300);
    /// Long enough for a suspected node to receive the suspicion and refute it: over three periods.
    Duration suspectFor = std::chrono::milliseconds(2000);
    /// Time after which a dead node is removed; its replacement has a new address.
    Duration rememberDeadFor = std::chrono::hours(1);
};

/// @brief One node's view of all nodes. Pure: messages are passed in and out as values.
class Membership
{
public:
    /// @param self this node; its incarnation must be above those of its earlier starts
    /// @param seeds addresses of peers from the settings
    Membership(Member self, std::vector<Endpoint> seeds, MembershipTiming timing = {});

    /// @brief The messages to send now. To be called several times per period.
    [[nodiscard]] std::vector<Outgoing> tick(TimePoint now, Random &random);
    /// @brief Processes a message.
    /// @return the answers to it
    [[nodiscard]] std::vector<Outgoing> receive(const PeerMessage &message, const ReplyRoute &route,
                                                TimePoint now);

    /// @brief Sets this node's phase and gossips it.
    void setPhase(Phase phase);
    /// @brief Sets the version of the bundle in force, which is sent with every message but not
    /// gossiped: with a new bundle every few seconds, updates on the versions of all nodes would be
    /// most of the traffic.
    void setBundleVersion(std::uint64_t version);
    /// @brief Sets the load of this node, which is sent with every message.
    void setLoad(NodeLoad load) { m_load = std::move(load); }
    /// @brief Adds an address from the host list.
    void addSeed(const Endpoint &seed);
    /// @brief Gossips that an engine must get no new requests.
    void spreadLeaving(const EngineId &engine);

    [[nodiscard]] const Member &self() const { return m_self; }
    /// @brief All known nodes, this one first; includes dead ones.
    [[nodiscard]] std::vector<Member> members() const;
    /// @brief Number of nodes that are not dead, including this one.
    [[nodiscard]] std::size_t liveCount() const;
    /// @brief Engines reported as leaving since the last call.
    [[nodiscard]] std::vector<EngineId> takeLeaving();
    /// @brief Changes of liveness or phase since the last call, for the log.
    [[nodiscard]] std::vector<Member> takeChanges();

private:
    struct Known
    {
        Member member;
        TimePoint deadline; ///< end of a suspicion, or removal of a dead node
    };

    struct Probe
    {
        std::uint64_t sequence;
        Endpoint target;
        std::optional<NodeId> node; ///< none for an address without a known node
        TimePoint probeIndirectlyAt;
        TimePoint timesOutAt;
        bool hasProbedIndirectly = false;
    };

    /// An indirect probe made at the request of another node.
    struct IndirectProbe
    {
        std::uint64_t sequence;
        std::uint64_t requesterSequence;
        ReplyRoute requesterRoute;
        TimePoint expiresAt;
    };

    void merge(const Member &update, TimePoint now);
    void refute(const Member &update);
    void expire(TimePoint now);
    void startProbes(std::vector<Outgoing> &out, TimePoint now, Random &random);
    void probe(std::vector<Outgoing> &out, const Endpoint &target, std::optional<NodeId> node,
               TimePoint now);
    void probeIndirectly(std::vector<Outgoing> &out, TimePoint now, Random &random);
    void suspect(const NodeId &node, TimePoint now);
    [[nodiscard]] std::optional<Endpoint> nextInactiveAddress(Random &random);
    [[nodiscard]] const Member *nextMember(Random &random);
    [[nodiscard]] PeerMessage compose(decltype(PeerMessage::body) body);
    void appendSuspicion(PeerMessage &message, const NodeId &node) const;
    void change(Known &known, const Member &to, TimePoint now);
    [[nodiscard]] std::optional<Outgoing> acknowledge(const Ack &ack);

    Member m_self;
    NodeLoad m_load;
    std::vector<Endpoint> m_seeds;
    MembershipTiming m_timing;
    std::map<NodeId, Known> m_known;
    std::vector<NodeId> m_order; ///< members not yet probed in the current round
    std::vector<Probe> m_probes;
    std::vector<IndirectProbe> m_indirectProbes;
    GossipBuffer<Member, NodeId> m_updates;
    GossipBuffer<EngineId, EngineId> m_leavingUpdates;
    std::vector<EngineId> m_leavingReceived;
    std::vector<EngineId> m_leavingKnown;
    std::vector<Member> m_changes;
    std::uint64_t m_nextSequence = 1;
    TimePoint m_nextProbe = TimePoint::min();
};

} // namespace vanilladyke
