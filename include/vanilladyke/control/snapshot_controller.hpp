#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/membership_controller.hpp"

#include <array>
#include <functional>
#include <optional>

/// Snapshots: transfer of state from a peer to a starting node, and of a newer bundle while the log
/// is down.
namespace vanilladyke {

/// @brief Reads and writes one section of the state in pieces.
struct SnapshotStore
{
    /// Writes the piece at a cursor; the section bounds its size.
    std::function<SnapshotPiece(std::uint64_t cursor)> write;
    /// Merges one piece into the state; newer state of this node is kept.
    std::function<void(const SnapshotPiece &piece)> read;
};

/// @brief Answers peers' requests for pieces, and requests pieces itself: all sections once after
/// the start, and the bundle whenever a peer has a newer one.
///
/// Without it a restarted node would miss warm prefix caches with its first requests, and while the
/// log is down it would have no bundle and could not serve requests.
class SnapshotController
{
public:
    static constexpr std::size_t SectionCount = 2;
    /// @brief A store for each section, in the order of SnapshotSection; one without functions is
    /// skipped.
    using Stores = std::array<SnapshotStore, SectionCount>;

    SnapshotController(Stores stores, MembershipController::Sender sender);

    void handle(const Event &event, TimePoint now);
    void contribute(const Fleet &fleet, TimePoint now);

    /// @brief Whether all sections were fetched once, or no peer was found to fetch them from.
    [[nodiscard]] bool isComplete() const { return m_next == SectionCount && !m_fetch; }

private:
    /// Transfer of one section from one peer.
    struct Fetch
    {
        SnapshotSection section;
        std::uint64_t cursor = 0;
        Member from;
        TimePoint deadline;
    };

    [[nodiscard]] SnapshotStore &storeOf(SnapshotSection section);
    void answer(const SnapshotRequest &request, const ReplyRoute &route);
    void applyPiece(const SnapshotPiece &piece, const Member &from, TimePoint now);
    void startFetch(SnapshotSection section, const Member &from, TimePoint now);
    void sendRequest(TimePoint now);
    void advance(TimePoint now);
    [[nodiscard]] const Member *nearestReady() const;
    [[nodiscard]] const Member *peerWithNewerBundle() const;
    void send(Destination to, decltype(PeerMessage::body) body);

    Stores m_stores;
    MembershipController::Sender m_sender;
    std::vector<Member> m_members; ///< from the last fleet, this node first
    std::vector<NodeId> m_failed;  ///< peers that did not answer a request in time
    std::optional<Fetch> m_fetch;
    std::size_t m_next = 0; ///< first section not yet fetched
    TimePoint m_startedAt = TimePoint::min();
    TimePoint m_nextBundleCheck = TimePoint::min();
};

} // namespace vanilladyke
