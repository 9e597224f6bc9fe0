#include "vanilladyke/node/peer_seal.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const std::string fleetKey(32, 'k');

TEST(PeerSeal, VerifiesDatagramsWithTheFleetKey)
{
    PeerSeal one;
    PeerSeal two;
    one.setKey(fleetKey);
    two.setKey(fleetKey);
    EXPECT_EQ(two.open(one.seal("message")), "message");
    EXPECT_EQ(two.open(one.seal("")), "");
}

// Guards against a forged datagram by which a node accepts a revoked key.
TEST(PeerSeal, RejectsForeignOrModifiedDatagrams)
{
    PeerSeal ours;
    PeerSeal theirs;
    ours.setKey(fleetKey);
    theirs.setKey(std::string(32, 'x'));
    EXPECT_FALSE(ours.open(theirs.seal("message")));
    std::string changed = ours.seal("message");
    changed.back() = 'x';
    EXPECT_FALSE(ours.open(changed));
    EXPECT_FALSE(ours.open("short"));
    EXPECT_FALSE(PeerSeal().open(ours.seal("message"))) << "verification fails without a key";
}

} // namespace
} // namespace vanilladyke
