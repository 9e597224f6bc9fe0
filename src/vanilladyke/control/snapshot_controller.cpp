#include "vanilladyke/control/snapshot_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// A piece is at most some 100 KB; its transfer between regions takes well under this.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(800);
/// After this time without a ready peer a starting node assumes that it is the first of the fleet.
constexpr Duration PeerSearchTimeout = std::chrono::seconds(3);
/// Interval at which peers are checked for a newer bundle; leaves the log time to deliver it first.
constexpr Duration BundleCheckInterval = std::chrono::milliseconds(1000);

std::string_view nameOf(SnapshotSection section)
{
    return section == SnapshotSection::Bundle ? "bundle" : "cache_view";
}

bool canServeSnapshot(const Member &member)
{
    return member.phase == Phase::Ready && member.liveness == Liveness::Alive;
}

} // namespace

SnapshotController::SnapshotController(Stores stores, MembershipController::Sender sender)
    : m_stores(std::move(stores))
    , m_sender(std::move(sender))
{}

void SnapshotController::handle(const Event &event, TimePoint now)
{
    if (m_startedAt == TimePoint::min()) {
        m_startedAt = now;
    }
    if (const auto *received = std::get_if<PeerMessageReceived>(&event)) {
        if (const auto *request = std::get_if<SnapshotRequest>(&received->message.body)) {
            answer(*request, received->route);
        } else if (const auto *piece = std::get_if<SnapshotPiece>(&received->message.body)) {
            applyPiece(*piece, received->message.from, now);
        }
    }
    advance(now);
}

void SnapshotController::contribute(const Fleet &fleet, TimePoint /*now*/)
{
    m_members = fleet.members;
}

SnapshotStore &SnapshotController::storeOf(SnapshotSection section)
{
    return m_stores.at(static_cast<std::size_t>(section));
}

void SnapshotController::answer(const SnapshotRequest &request, const ReplyRoute &route)
{
    const SnapshotStore &store = storeOf(request.section);
    if (!store.write) {
        return;
    }
    SnapshotPiece piece = store.write(request.cursor);
    piece.section = request.section;
    piece.cursor = request.cursor;
    send(route, std::move(piece));
}

void SnapshotController::applyPiece(const SnapshotPiece &piece, const Member &from, TimePoint now)
{
    // A late answer of a peer that timed out would mix the cursors of two peers and leave gaps.
    const bool isExpected = m_fetch && m_fetch->section == piece.section
                            && m_fetch->cursor == piece.cursor && m_fetch->from.node == from.node;
    if (!isExpected) {
        return;
    }
    storeOf(piece.section).read(piece);
    if (piece.nextCursor > piece.cursor) {
        m_fetch->cursor = piece.nextCursor;
        sendRequest(now);
        return;
    }
    LogEvent("snapshot_taken")
            .field("section", nameOf(piece.section))
            .field("peer", from.node.str());
    if (static_cast<std::size_t>(piece.section) == m_next) {
        ++m_next;
    }
    m_fetch.reset();
}

void SnapshotController::startFetch(SnapshotSection section, const Member &from, TimePoint now)
{
    m_fetch = Fetch{section, 0, from, now};
    sendRequest(now);
}

void SnapshotController::sendRequest(TimePoint now)
{
    m_fetch->deadline = now + AnswerTimeout;
    send(m_fetch->from.peers, SnapshotRequest{m_fetch->section, m_fetch->cursor});
}

void SnapshotController::advance(TimePoint now)
{
    if (m_fetch && m_fetch->deadline > now) {
        return;
    }
    if (m_fetch) {
        LogEvent("snapshot_unanswered", Severity::Warning)
                .field("section", nameOf(m_fetch->section))
                .field("peer", m_fetch->from.node.str());
        m_failed.push_back(m_fetch->from.node);
        m_fetch.reset();
    }
    while (m_next < SectionCount && !m_stores.at(m_next).read) {
        ++m_next;
    }
    if (m_next < SectionCount) {
        if (const Member *peer = nearestReady()) {
            startFetch(static_cast<SnapshotSection>(m_next), *peer, now);
        } else if (now - m_startedAt > PeerSearchTimeout) {
            m_next = SectionCount;
        }
        return;
    }
    if (now >= m_nextBundleCheck) {
        m_nextBundleCheck = now + BundleCheckInterval;
        if (const Member *peer = peerWithNewerBundle()) {
            startFetch(SnapshotSection::Bundle, *peer, now);
        }
    }
}

const Member *SnapshotController::nearestReady() const
{
    const Member *best = nullptr;
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        const Member &member = m_members[i];
        const bool failed =
                std::find(m_failed.begin(), m_failed.end(), member.node) != m_failed.end();
        if (failed || !canServeSnapshot(member)) {
            continue;
        }
        const bool isNear = member.dataCentre == m_members.front().dataCentre;
        if (best == nullptr || (isNear && best->dataCentre != m_members.front().dataCentre)) {
            best = &member;
        }
    }
    return best;
}

const Member *SnapshotController::peerWithNewerBundle() const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
        return canServeSnapshot(member) && member.bundleVersion > m_members.front().bundleVersion;
    });
    return found == m_members.end() ? nullptr : &*found;
}

void SnapshotController::send(Destination to, decltype(PeerMessage::body) body)
{
    if (m_members.empty()) {
        return;
    }
    m_sender({std::move(to), {m_members.front(), {}, {}, std::move(body)}});
}

} // namespace vanilladyke
