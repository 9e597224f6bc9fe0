#include "vanilladyke/control/membership_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <array>

namespace vanilladyke {

namespace {

/// A fraction of Membership's own periods; a tick with nothing due is cheap.
constexpr Duration TickInterval = std::chrono::milliseconds(100);

std::string_view nameOf(Phase phase)
{
    constexpr std::array<std::string_view, 3> Names{"starting", "ready", "leaving"};
    return Names.at(static_cast<std::size_t>(phase));
}

std::string_view nameOf(Liveness liveness)
{
    constexpr std::array<std::string_view, 3> Names{"alive", "suspect", "dead"};
    return Names.at(static_cast<std::size_t>(liveness));
}

} // namespace

MembershipController::MembershipController(Membership membership, Sender sender, Inbox &inbox,
                                           Random random)
    : m_membership(std::move(membership))
    , m_sender(std::move(sender))
    , m_inbox(inbox)
    , m_random(random)
{}

void MembershipController::handle(const Event &event, TimePoint now)
{
    if (const auto *received = std::get_if<PeerMessageReceived>(&event)) {
        send(m_membership.receive(received->message, received->route, now));
        postLeavingEngines();
        recordLoad(received->message, now);
    } else if (const auto *observed = std::get_if<LoadObserved>(&event)) {
        m_membership.setLoad(observed->load);
    } else if (const auto *leaving = std::get_if<EngineLeaving>(&event)) {
        m_membership.spreadLeaving(leaving->engine);
        static_cast<void>(m_membership.takeLeaving());
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_leaving = true;
    }
    if (now >= m_nextTick) {
        m_nextTick = now + TickInterval;
        send(m_membership.tick(now, m_random));
    }
    logChanges();
}

void MembershipController::contribute(Fleet &fleet, TimePoint /*now*/)
{
    m_membership.setBundleVersion(fleet.bundle ? fleet.bundle->version : 0);
    const Phase phase = fleet.bundle ? Phase::Ready : Phase::Starting;
    m_membership.setPhase(m_leaving ? Phase::Leaving : phase);
    fleet.members = m_membership.members();
    fleet.liveNodes = static_cast<std::uint32_t>(m_membership.liveCount());
    fleet.leaving = m_leaving;
    for (const auto &[node, load] : m_loads) {
        fleet.peerLoads.push_back(load);
    }
}

void MembershipController::send(std::vector<Outgoing> outgoing)
{
    for (Outgoing &each : outgoing) {
        m_sender(std::move(each));
    }
}

void MembershipController::postLeavingEngines()
{
    for (const EngineId &engine : m_membership.takeLeaving()) {
        m_inbox.post(EngineLeaving{engine});
    }
}

void MembershipController::recordLoad(const PeerMessage &message, TimePoint now)
{
    m_loads[message.from.node] = {message.from.node, now,
                                  std::make_shared<const NodeLoad>(message.load)};
    std::erase_if(m_loads,
                  [now](const auto &entry) { return now - entry.second.heardAt > PeerLoadLife; });
}

void MembershipController::logChanges()
{
    for (const Member &member : m_membership.takeChanges()) {
        LogEvent("peer")
                .field("peer", member.node.str())
                .field("liveness", nameOf(member.liveness))
                .field("phase", nameOf(member.phase))
                .field("incarnation", static_cast<std::uint64_t>(member.incarnation));
    }
}

} // namespace vanilladyke
