#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

namespace vanilladyke {

/// @brief Read access of traffic threads to the control state, and the inbox they post events to.
struct NodeState
{
    const FleetStore &fleet;
    const SharedCacheView &cacheView;
    Inbox &inbox;
};

} // namespace vanilladyke
