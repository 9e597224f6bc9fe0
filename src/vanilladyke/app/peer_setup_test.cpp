#include "vanilladyke/app/peer_setup.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace vanilladyke {
namespace {

// A host gets the secret key of another fleet. It would start, hear nobody and count itself alone,
// so that it would take all engines for its own; so it must not start at all and say which field is
// off.
TEST(PeerSetup, RefusesASecretKeyThatIsNotThePublicKeysOwn)
{
    const PeerKeys keys = newPeerKeys();
    const std::string path = testing::TempDir() + "vanilladyke_peer_setup_key";
    std::ofstream(path) << newPeerKeys().secretKey << '\n';
    const auto foreign = loadPeerKeys({{}, {}, keys.publicKey, path, {}});
    ASSERT_FALSE(foreign.has_value());
    EXPECT_EQ(foreign.error().field, "peers.secret_key_file");
    std::ofstream(path) << keys.secretKey << '\n';
    EXPECT_TRUE(loadPeerKeys({{}, {}, keys.publicKey, path, {}}).has_value());
    std::remove(path.c_str());
}

} // namespace
} // namespace vanilladyke
