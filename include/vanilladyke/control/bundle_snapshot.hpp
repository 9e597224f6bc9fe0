#pragma once

#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/snapshot_controller.hpp"

#include <string>

namespace vanilladyke {

/// @brief Gives the accepted bundle to peers in bounded pieces, and takes it from them.
///
/// A bundle may change while its pieces are on the way; so each piece names the digest of the
/// whole, and pieces of different wholes are never put together.
class BundleSnapshot
{
public:
    static constexpr std::size_t PieceBytes = 64U << 10U;

    explicit BundleSnapshot(BundleController &bundles);

    [[nodiscard]] SnapshotPiece write(std::uint64_t cursor);
    void read(const SnapshotPiece &piece);
    /// @brief The two as the snapshot controller wants them; this object must outlive it.
    [[nodiscard]] SnapshotStore store();

private:
    BundleController &m_bundles;
    std::string m_given; ///< the record that is being given, and its digest
    std::string m_givenDigest;
    std::string m_taken; ///< what has come so far of the record that is being taken
    std::string m_takenDigest;
};

} // namespace vanilladyke
