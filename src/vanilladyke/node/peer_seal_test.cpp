#include "vanilladyke/node/peer_seal.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const std::string fleetKey(32, 'k');

TEST(PeerSeal, OpensWhatTheFleetSealed)
{
    PeerSeal one;
    PeerSeal two;
    one.setKey(fleetKey);
    two.setKey(fleetKey);
    EXPECT_EQ(two.open(one.seal("message")), "message");
    EXPECT_EQ(two.open(one.seal("")), "");
}

// A datagram could otherwise tell a node that a key that was taken away is still valid.
TEST(PeerSeal, DoesNotOpenWhatOthersSealedOrChanged)
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
    EXPECT_FALSE(PeerSeal().open(ours.seal("message"))) << "without the key nothing opens";
}

} // namespace
} // namespace vanilladyke
