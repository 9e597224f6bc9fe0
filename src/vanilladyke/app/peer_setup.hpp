#pragma once

#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/peers/peer_transport.hpp"
#include "vanilladyke/policy/membership.hpp"

namespace vanilladyke {

/// @brief The fleet's keys as settings name them. @return why they can't be used
[[nodiscard]] Outcome<PeerKeys, FieldError> loadPeerKeys(const PeerSettings &peers);

/// @brief This node as its peers are to know it, in a life that starts now.
[[nodiscard]] Membership makeMembership(const HostSettings &settings, WallTime startedAt);

} // namespace vanilladyke
