#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

#include <string>

namespace vanilladyke {

/// @brief The state dump of a running node, with MostDumpedEntries of its cache view at most. Any
/// thread.
[[nodiscard]] std::string dumpState(const FleetStore &store, const SharedCacheView &view);

} // namespace vanilladyke
