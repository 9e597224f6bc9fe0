#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

namespace vanilladyke {

/// @brief What traffic sees of the control state, and where it posts what it observes.
struct NodeState
{
    const FleetStore &fleet;
    const SharedCacheView &cacheView;
    Inbox &inbox;
};

} // namespace vanilladyke
