#pragma once

#include "vanilladyke/control/cache_controller.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"
#include "vanilladyke/control/snapshot_controller.hpp"

namespace vanilladyke {

/// @brief Number of cache view entries in one piece, some 45 KB.
inline constexpr std::size_t CacheEntriesPerPiece = 1000;

/// @brief The cache view as a snapshot section. Both arguments must outlive the result.
[[nodiscard]] SnapshotStore cacheViewStore(const SharedCacheView &view,
                                           CacheController &controller);

} // namespace vanilladyke
