#include "vanilladyke/app/peer_setup.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace vanilladyke {
namespace {

// Guards against a host that starts with the secret key of another fleet: it would receive no
// updates, assume that it is the only node and claim all engines. It must refuse to start and
// report the field.
TEST(PeerSetup, RejectsASecretKeyThatDoesNotMatchThePublicKey)
{
    const PeerKeys keys = newPeerKeys();
    const std::string path = testing::TempDir() + "vanilladyke_peer_setup_key";
    std::ofstream(path) << newPeerKeys().secretKey << '\n';
    const auto mismatched = loadPeerKeys({{}, {}, keys.publicKey, path, {}});
    ASSERT_FALSE(mismatched.has_value());
    EXPECT_EQ(mismatched.error().field, "peers.secret_key_file");
    std::ofstream(path) << keys.secretKey << '\n';
    EXPECT_TRUE(loadPeerKeys({{}, {}, keys.publicKey, path, {}}).has_value());
    std::remove(path.c_str());
}

} // namespace
} // namespace vanilladyke
