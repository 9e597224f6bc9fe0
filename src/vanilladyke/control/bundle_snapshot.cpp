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
        m_outgoing = m_bundles.peerRecord();
        m_outgoingDigest = digestOf(m_outgoing);
    }
    SnapshotPiece piece;
    const std::size_t from = std::min<std::uint64_t>(cursor, m_outgoing.size());
    const std::size_t size = std::min(PieceBytes, m_outgoing.size() - from);
    piece.items = {m_outgoingDigest, m_outgoing.substr(from, size)};
    piece.nextCursor = from + size < m_outgoing.size() ? from + size : 0;
    return piece;
}

void BundleSnapshot::read(const SnapshotPiece &piece)
{
    if (piece.items.size() != 2) {
        return;
    }
    if (piece.cursor == 0) {
        m_incoming.clear();
        m_incomingDigest = piece.items[0];
    }
    const bool isNextPiece = piece.items[0] == m_incomingDigest && piece.cursor == m_incoming.size()
                             && m_incoming.size() + piece.items[1].size() <= MostRecordBytes;
    if (!isNextPiece) {
        m_incoming.clear();
        m_incomingDigest.clear();
        return;
    }
    m_incoming += piece.items[1];
    if (piece.nextCursor != 0) {
        return;
    }
    if (!m_incoming.empty() && digestOf(m_incoming) == m_incomingDigest) {
        m_bundles.acceptPeerRecord(m_incoming);
    }
    m_incoming.clear();
}

SnapshotStore BundleSnapshot::store()
{
    return {[this](std::uint64_t cursor) { return write(cursor); },
            [this](const SnapshotPiece &piece) { read(piece); }};
}

} // namespace vanilladyke
