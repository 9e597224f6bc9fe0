#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/policy/cache_view.hpp"

#include <string>
#include <string_view>
#include <vector>

/// State dumps: what a node's placements are made from, as JSON, so that a decision can be made
/// again and explained away from the node.
///
/// A dump holds the fleet's engines with their loads, the models, the objective, and the first
/// entries of the cache view. It holds no key, and neither what the node learned of survival nor
/// its own requests under way: an explanation starts from the defaults for those.
namespace vanilladyke {

/// @brief Cache entries in one dump at most; some 130 bytes each.
inline constexpr std::size_t MostDumpedEntries = 20'000;

/// @brief A dump read back.
struct StateDump
{
    Fleet fleet;
    std::vector<CacheEntry> cache;
};

/// @brief Writes a dump. @param cache entries of engines that the fleet does not name are left out
[[nodiscard]] std::string writeStateDump(const Fleet &fleet, const std::vector<CacheEntry> &cache,
                                         TimePoint now);

/// @brief Reads a dump back; ages count from @p now. On failure every error is given.
[[nodiscard]] Outcome<StateDump, std::vector<FieldError>> readStateDump(std::string_view text,
                                                                        TimePoint now);

} // namespace vanilladyke
