#pragma once

#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/peers/peer_transport.hpp"
#include "vanilladyke/policy/membership.hpp"

namespace vanilladyke {

/// @brief Loads the fleet's keys that the settings name. @return an error if they can't be used
[[nodiscard]] Outcome<PeerKeys, FieldError> loadPeerKeys(const PeerSettings &peers);

/// @brief Creates the membership of this node, with an incarnation derived from its start time.
[[nodiscard]] Membership makeMembership(const HostSettings &settings, WallTime startedAt);

} // namespace vanilladyke
