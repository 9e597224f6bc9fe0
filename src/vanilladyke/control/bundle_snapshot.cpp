#include "vanilladyke/control/bundle_snapshot.hpp"

#include "vanilladyke/model/signing.hpp"

#include <algorithm>

namespace vanilladyke {

BundleSnapshot::BundleSnapshot(BundleController &bundles)
    : m_bundles(bundles)
{}

SnapshotPiece BundleSnapshot::write(std::uint64_t cursor)
{
    if (cursor == 0) {
        m_given = m_bundles.peerRecord();
        m_givenDigest = digestOf(m_given);
    }
    SnapshotPiece piece;
    const std::size_t from = std::min<std::uint64_t>(cursor, m_given.size());
    const std::size_t size = std::min(PieceBytes, m_given.size() - from);
    piece.items = {m_givenDigest, m_given.substr(from, size)};
    piece.nextCursor = from + size < m_given.size() ? from + size : 0;
    return piece;
}

void BundleSnapshot::read(const SnapshotPiece &piece)
{
    if (piece.items.size() != 2) {
        return;
    }
    if (piece.cursor == 0) {
        m_taken.clear();
        m_takenDigest = piece.items[0];
    }
    const bool fits = piece.items[0] == m_takenDigest && piece.cursor == m_taken.size()
                      && m_taken.size() + piece.items[1].size() <= MostRecordBytes;
    if (!fits) {
        m_taken.clear();
        m_takenDigest.clear();
        return;
    }
    m_taken += piece.items[1];
    if (piece.nextCursor != 0) {
        return;
    }
    if (!m_taken.empty() && digestOf(m_taken) == m_takenDigest) {
        m_bundles.takePeerRecord(m_taken);
    }
    m_taken.clear();
}

SnapshotStore BundleSnapshot::store()
{
    return {[this](std::uint64_t cursor) { return write(cursor); },
            [this](const SnapshotPiece &piece) { read(piece); }};
}

} // namespace vanilladyke
