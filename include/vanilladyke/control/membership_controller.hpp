#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/policy/membership.hpp"

#include <functional>
#include <map>

namespace vanilladyke {

/// @brief Runs Membership on the control thread: passes it peers' messages and ticks, sends its
/// outgoing messages, and writes the members into the fleet.
class MembershipController
{
public:
    /// @brief Passes a message to the transport.
    using Sender = std::function<void(Outgoing)>;

    /// @param inbox receives an EngineLeaving for each engine that peers report as leaving
    MembershipController(Membership membership, Sender sender, Inbox &inbox, Random random);

    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now);

private:
    void send(std::vector<Outgoing> outgoing);
    void postLeavingEngines();
    void recordLoad(const PeerMessage &message, TimePoint now);
    void logChanges();

    Membership m_membership;
    Sender m_sender;
    Inbox &m_inbox;
    Random m_random;
    TimePoint m_nextTick = TimePoint::min();
    bool m_leaving = false;
    std::map<NodeId, PeerLoad> m_loads;
};

} // namespace vanilladyke
