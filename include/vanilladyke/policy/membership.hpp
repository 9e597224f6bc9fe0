#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/peer_message.hpp"
#include "vanilladyke/policy/rumor_buffer.hpp"

#include <map>
#include <optional>
#include <vector>

/// Membership: which nodes live, agreed on by nobody and known to all after a few seconds.
///
/// Random probing with rumours, after the SWIM protocol (Das, Gupta, Motivala 2002): each node
/// probes a fixed number of others a second, asks a few to probe for it when one does not answer,
/// and spreads what it learns on the back of those messages. A full mesh of heartbeats among 410
/// nodes would cost each node 410 messages a period; here the cost of a node is the same at 9 and
/// at 410. A node that is wrongly suspected hears of it and corrects it by a higher revision.
/// Probes also go to addresses that are given up or not known yet, so that regions that lost each
/// other join again without help.
namespace vanilladyke {

/// @brief Timing of the probes.
struct MembershipTiming
{
    Duration probeEvery = std::chrono::milliseconds(500);
    /// Round trips between data centres take 3 ms today, between regions up to some 200 ms.
    Duration answerWithin = std::chrono::milliseconds(300);
    /// Long enough for a suspected node to hear of it and object, over three periods.
    Duration suspectFor = std::chrono::milliseconds(2000);
    /// A node that has been dead for so long is forgotten; its replacement has a new address.
    Duration rememberDeadFor = std::chrono::hours(1);
};

/// @brief One node's view of all nodes. Pure: messages come in and go out as values.
class Membership
{
public:
    /// @param self this node; its incarnation must be above that of its former lives
    /// @param seeds addresses of peers from the settings
    Membership(Member self, std::vector<Endpoint> seeds, MembershipTiming timing = {});

    /// @brief What is to be sent now. Call it several times in a period.
    [[nodiscard]] std::vector<Outgoing> tick(TimePoint now, Random &random);
    /// @brief Takes in a message. @return the answers to it
    [[nodiscard]] std::vector<Outgoing> receive(const PeerMessage &message, const ReplyRoute &route,
                                                TimePoint now);

    /// @brief Spreads this node's phase.
    void setPhase(Phase phase);
    /// @brief Tells those it talks to of the bundle in force here. It is no rumour: with a new
    /// bundle every few seconds, rumours of all nodes' versions would be most of the traffic.
    void setBundleVersion(std::uint64_t version);
    /// @brief Tells the load at this node with every message from now on.
    void setLoad(NodeLoad load) { m_load = std::move(load); }
    /// @brief Adds an address from the host list.
    void addSeed(const Endpoint &seed);
    /// @brief Spreads that an engine is to get no new work.
    void spreadLeaving(const EngineId &engine);

    [[nodiscard]] const Member &self() const { return m_self; }
    /// @brief All nodes known, this one first; the dead included.
    [[nodiscard]] std::vector<Member> members() const;
    /// @brief Nodes that are not dead, this one included.
    [[nodiscard]] std::size_t liveCount() const;
    /// @brief Engines that peers said are leaving, since the last call.
    [[nodiscard]] std::vector<EngineId> takeLeaving();
    /// @brief Changes of liveness or phase since the last call, for the log.
    [[nodiscard]] std::vector<Member> takeChanges();

private:
    struct Known
    {
        Member member;
        TimePoint deadline; ///< of a suspicion, or until a dead node is forgotten
    };

    struct Probe
    {
        std::uint64_t sequence;
        Endpoint target;
        std::optional<NodeId> node; ///< none for an address without a known node
        TimePoint askOthersAt;
        TimePoint giveUpAt;
        bool askedOthers = false;
    };

    /// A probe made for another node.
    struct Relay
    {
        std::uint64_t sequence;
        std::uint64_t theirSequence;
        ReplyRoute theirRoute;
        TimePoint forgetAt;
    };

    void absorb(const Member &news, TimePoint now);
    void defend(const Member &news);
    void expire(TimePoint now);
    void startProbes(std::vector<Outgoing> &out, TimePoint now, Random &random);
    void probe(std::vector<Outgoing> &out, const Endpoint &target, std::optional<NodeId> node,
               TimePoint now);
    void askOthers(std::vector<Outgoing> &out, TimePoint now, Random &random);
    void suspect(const NodeId &node, TimePoint now);
    [[nodiscard]] std::optional<Endpoint> nextStranger(Random &random);
    [[nodiscard]] const Member *nextMember(Random &random);
    [[nodiscard]] PeerMessage compose(decltype(PeerMessage::body) body);
    void tellOfDoubt(PeerMessage &message, const NodeId &node) const;
    void change(Known &known, const Member &to, TimePoint now);
    [[nodiscard]] std::optional<Outgoing> acknowledge(const Ack &ack);

    Member m_self;
    NodeLoad m_load;
    std::vector<Endpoint> m_seeds;
    MembershipTiming m_timing;
    std::map<NodeId, Known> m_known;
    std::vector<NodeId> m_order; ///< members not yet probed in this round
    std::vector<Probe> m_probes;
    std::vector<Relay> m_relays;
    RumorBuffer<Member, NodeId> m_news;
    RumorBuffer<EngineId, EngineId> m_leaving;
    std::vector<EngineId> m_leavingHeard;
    std::vector<EngineId> m_leavingTold;
    std::vector<Member> m_changes;
    std::uint64_t m_nextSequence = 1;
    TimePoint m_nextProbe = TimePoint::min();
};

} // namespace vanilladyke
