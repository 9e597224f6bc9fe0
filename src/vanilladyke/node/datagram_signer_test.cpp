#include "vanilladyke/node/datagram_signer.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const std::string fleetKey(32, 'k');

TEST(DatagramSigner, VerifiesDatagramsWithTheFleetKey)
{
    DatagramSigner one;
    DatagramSigner two;
    one.setKey(fleetKey);
    two.setKey(fleetKey);
    EXPECT_EQ(two.verify(one.sign("message")), "message");
    EXPECT_EQ(two.verify(one.sign("")), "");
}

// Guards against a forged datagram by which a node accepts a revoked key.
TEST(DatagramSigner, RejectsForeignOrModifiedDatagrams)
{
    DatagramSigner ours;
    DatagramSigner theirs;
    ours.setKey(fleetKey);
    theirs.setKey(std::string(32, 'x'));
    EXPECT_FALSE(ours.verify(theirs.sign("message")));
    std::string changed = ours.sign("message");
    changed.back() = 'x';
    EXPECT_FALSE(ours.verify(changed));
    EXPECT_FALSE(ours.verify("short"));
    EXPECT_FALSE(DatagramSigner().verify(ours.sign("message")))
            << "verification fails without a key";
}

} // namespace
} // namespace vanilladyke
