#pragma once

#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/snapshot_controller.hpp"

#include <string>

namespace vanilladyke {

/// @brief Sends the accepted bundle to peers in pieces of bounded size, and assembles received
/// ones.
///
/// The bundle may change during a transfer. Each piece therefore carries the digest of the whole
/// record, and pieces of different records are never combined.
class BundleSnapshot
{
public:
    static constexpr std::size_t PieceBytes = 64U << 10U;

    explicit BundleSnapshot(BundleController &bundles);

    /// @brief The piece at byte offset @p cursor; cursor 0 starts a new transfer.
    [[nodiscard]] SnapshotPiece write(std::uint64_t cursor);
    /// @brief Appends a piece; the last one hands the record to the controller if its digest
    /// matches. A piece that does not follow the previous one aborts the transfer.
    void read(const SnapshotPiece &piece);
    /// @brief write() and read() as a SnapshotStore; this object must outlive it.
    [[nodiscard]] SnapshotStore store();

private:
    BundleController &m_bundles;
    std::string m_outgoing;       ///< record being sent
    std::string m_outgoingDigest; ///< digest of m_outgoing
    std::string m_incoming;       ///< bytes received so far of the record being received
    std::string m_incomingDigest; ///< digest that the whole record must have
};

} // namespace vanilladyke
