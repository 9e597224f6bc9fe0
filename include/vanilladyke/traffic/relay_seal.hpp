#pragma once

#include "vanilladyke/model/work_digest.hpp"
#include "vanilladyke/traffic/dialect.hpp"

/// Proof that a request which arrives from another node was sent by a node of the fleet.
namespace vanilladyke {

/// @brief The seal of a request: a digest under the fleet's key of all that decides what runs. It
/// has no time in it, since clocks of hosts differ: who can read the link can send the same request
/// again, as he could to a server directly.
/// @param resumeAfter id of the last event that the caller has received
/// @param sealed the terms; its own seal is not looked at
[[nodiscard]] WorkDigest relaySeal(const WorkDigester &digester, const CallerRequest &request,
                                   const std::string &resumeAfter, const RelayTerms &sealed);

/// @brief Whether the request bears the seal of this fleet.
[[nodiscard]] bool hasValidSeal(const WorkDigester &digester, const CallerRequest &request);

} // namespace vanilladyke
