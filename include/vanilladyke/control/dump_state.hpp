#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

#include <string>

namespace vanilladyke {

/// @brief Dumps the state of a running node, with at most MostDumpedEntries entries of its cache
/// view. Thread-safe.
[[nodiscard]] std::string dumpState(const FleetStore &store, const SharedCacheView &view);

} // namespace vanilladyke
