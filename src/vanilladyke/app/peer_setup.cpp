#include "vanilladyke/app/peer_setup.hpp"

#include <boost/algorithm/string/trim.hpp>

namespace vanilladyke {

namespace {

Incarnation incarnationAt(WallTime time)
{
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    return Incarnation{static_cast<std::uint64_t>(sinceEpoch.count())};
}

} // namespace

Outcome<PeerKeys, FieldError> loadPeerKeys(const PeerSettings &peers)
{
    auto secret = readFile(peers.secretKeyFile);
    if (!secret) {
        return failure(
                FieldError{"peers.secret_key_file", peers.secretKeyFile, secret.error().reason});
    }
    boost::algorithm::trim(*secret);
    if (publicPeerKey(*secret) != peers.publicKey) {
        return failure(FieldError{"peers.secret_key_file", peers.secretKeyFile,
                                  "must hold the secret key of peers.public_key"});
    }
    return PeerKeys{peers.publicKey, *secret, peers.formerPublicKey};
}

Membership makeMembership(const HostSettings &settings, WallTime startedAt)
{
    Member self;
    self.node = settings.node;
    self.dataCentre = settings.dataCentre;
    self.operators = settings.operators;
    self.incarnation = incarnationAt(startedAt);
    std::vector<Endpoint> seeds;
    if (settings.peers) {
        self.peers = settings.peers->listen;
        seeds = settings.peers->seeds;
    }
    return {std::move(self), std::move(seeds)};
}

} // namespace vanilladyke
