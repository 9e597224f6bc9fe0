#include "vanilladyke/control/bundle_snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

SigningKey signer(unsigned char seed)
{
    std::array<unsigned char, 32> bytes{};
    bytes.fill(seed);
    return signingKeyOf(bytes);
}

/// A bundle controller with its dependencies.
struct Node
{
    Node()
        : bundles(control(), statusStore, fleet)
    {}

    static BundleControl control()
    {
        BundleControl control;
        control.node = NodeId("n");
        control.trusted = {{verifyKeyOf(signer(1))}, 1};
        control.appendCheckpoint = [](const std::string &) {};
        return control;
    }

    /// Passes a page of the log with this one record to the controller.
    void readLog(const std::string &data, LogOffset offset)
    {
        auto page = std::make_shared<LogPage>();
        page->nextOffset = offset + 1;
        page->records = {{offset, WallTime(), data}};
        bundles.handle(BundleLogRead{page}, TimePoint());
    }

    [[nodiscard]] std::uint64_t version() const
    {
        Fleet seen;
        bundles.contribute(seen, TimePoint());
        return seen.bundle ? seen.bundle->version : 0;
    }

    FleetStore fleet;
    BundleStatusStore statusStore;
    BundleController bundles;
    BundleSnapshot snapshot{bundles};
};

std::string record(std::uint64_t version, const std::string &parent, const SigningKey &key,
                   std::size_t padding = 0)
{
    BundleRecord record;
    record.nonce = "n";
    record.bundle.text = "{\"version\":" + std::to_string(version) + ",\"parent\":\"" + parent
                         + "\"}" + std::string(padding, ' ');
    record.bundle.signatures = {signBundleText(key, record.bundle.text)};
    return writeBundleRecord(record);
}

void transferBundle(Node &from, Node &to)
{
    std::uint64_t cursor = 0;
    do {
        SnapshotPiece piece = from.snapshot.write(cursor);
        piece.cursor = cursor;
        to.snapshot.read(piece);
        cursor = piece.nextCursor;
    } while (cursor != 0);
}

// Guards against a replaced node that has no bundle, and so can't serve any request, for as long as
// the log is down although a peer has the bundle.
TEST(BundleSnapshot, NodeAcceptsBundleAndHistoryFromPeer)
{
    Node peer;
    peer.readLog(record(1, "", signer(1), 3 * BundleSnapshot::PieceBytes), 0);
    Node started;
    transferBundle(peer, started);
    EXPECT_EQ(started.version(), 1U);
    EXPECT_EQ(started.statusStore.status().history, peer.statusStore.status().history);
    EXPECT_EQ(started.bundles.peerRecord(), peer.bundles.peerRecord());
}

// Guards against accepting a bundle from a peer without valid signatures: the node would run with a
// configuration that no operator published.
TEST(BundleSnapshot, PeerBundleWithoutValidSignaturesIsRefused)
{
    Node started;
    started.bundles.acceptPeerRecord(record(5, "", signer(2)));
    started.bundles.acceptPeerRecord(record(5, "", signer(1)));
    EXPECT_EQ(started.version(), 0U)
            << "untrusted signer, and trusted signature without an acceptance history";
}

TEST(BundleSnapshot, OlderBundleFromPeerIsIgnored)
{
    Node peer;
    const std::string first = record(1, "", signer(1));
    peer.readLog(first, 0);
    Node newer;
    newer.readLog(first, 0);
    const std::string parent = digestOf(parseBundleRecord(first)->bundle.text);
    newer.readLog(record(2, parent, signer(1)), 1);
    transferBundle(peer, newer);
    EXPECT_EQ(newer.version(), 2U);
    transferBundle(newer, peer);
    EXPECT_EQ(peer.version(), 2U);
}

// Guards against combining pieces of two bundles when the peer accepts a new bundle during a
// transfer: the result would be a corrupt record.
TEST(BundleSnapshot, PiecesOfTwoBundlesAreNotCombined)
{
    Node peer;
    const std::string first = record(1, "", signer(1), 2 * BundleSnapshot::PieceBytes);
    peer.readLog(first, 0);
    Node started;
    const SnapshotPiece firstPiece = peer.snapshot.write(0);
    started.snapshot.read(firstPiece);
    const std::string parent = digestOf(parseBundleRecord(first)->bundle.text);
    peer.readLog(record(2, parent, signer(1), 2 * BundleSnapshot::PieceBytes), 1);
    static_cast<void>(peer.snapshot.write(0));
    SnapshotPiece other = peer.snapshot.write(firstPiece.nextCursor);
    other.cursor = firstPiece.nextCursor;
    started.snapshot.read(other);
    EXPECT_EQ(started.version(), 0U);
    transferBundle(peer, started);
    EXPECT_EQ(started.version(), 2U);
}

RC_GTEST_PROP(BundleSnapshot, RandomPiecesAreRefused, (const std::vector<std::string> &items))
{
    Node node;
    SnapshotPiece piece;
    piece.items = items;
    node.snapshot.read(piece);
    for (const std::string &item : items) {
        node.bundles.acceptPeerRecord(item);
    }
    RC_ASSERT(node.version() == 0U);
}

} // namespace
} // namespace vanilladyke
