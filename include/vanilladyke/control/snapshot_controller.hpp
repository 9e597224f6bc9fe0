#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/membership_controller.hpp"

#include <array>
#include <functional>
#include <optional>

/// Snapshots: how a starting node takes over what its peers know, and how a bundle gets around
/// while the platform's log is down.
namespace vanilladyke {

/// @brief How one section of the state is written into pieces and read from them.
struct SnapshotStore
{
    /// Writes the piece at a cursor; its size is bounded by the section's owner.
    std::function<SnapshotPiece(std::uint64_t cursor)> write;
    /// Takes in one piece; what the node knows better already stays.
    std::function<void(const SnapshotPiece &piece)> read;
};

/// @brief Answers peers' requests for pieces, and asks for them itself: for all sections once after
/// its start, and for the bundle whenever a peer has a newer one.
///
/// Without it a restarted node would send its first requests past warm caches, and while the log is
/// down it would have no bundle and could serve nobody.
class SnapshotController
{
public:
    static constexpr std::size_t SectionCount = 2;
    /// @brief A store for each section, in SnapshotSection's order; one without functions is left
    /// out.
    using Stores = std::array<SnapshotStore, SectionCount>;

    SnapshotController(Stores stores, MembershipController::Sender sender);

    void handle(const Event &event, TimePoint now);
    void contribute(const Fleet &fleet, TimePoint now);

    /// @brief Whether all sections were taken over once, or nobody was there to give them.
    [[nodiscard]] bool warm() const { return m_next == SectionCount && !m_fetch; }

private:
    /// A section that is being fetched from one peer.
    struct Fetch
    {
        SnapshotSection section;
        std::uint64_t cursor = 0;
        Member from;
        TimePoint deadline;
    };

    [[nodiscard]] SnapshotStore &storeOf(SnapshotSection section);
    void answer(const SnapshotRequest &request, const ReplyRoute &route);
    void take(const SnapshotPiece &piece, const Member &from, TimePoint now);
    void begin(SnapshotSection section, const Member &from, TimePoint now);
    void ask(TimePoint now);
    void advance(TimePoint now);
    [[nodiscard]] const Member *nearestReady() const;
    [[nodiscard]] const Member *peerWithNewerBundle() const;
    void send(Destination to, decltype(PeerMessage::body) body);

    Stores m_stores;
    MembershipController::Sender m_sender;
    std::vector<Member> m_members; ///< as of the last fleet, this node first
    std::vector<NodeId> m_failed;  ///< peers that left a request unanswered
    std::optional<Fetch> m_fetch;
    std::size_t m_next = 0; ///< the first section not yet taken over
    TimePoint m_startedAt = TimePoint::min();
    TimePoint m_nextBundleCheck = TimePoint::min();
};

} // namespace vanilladyke
