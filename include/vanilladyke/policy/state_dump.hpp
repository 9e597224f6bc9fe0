#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/policy/cache_view.hpp"

#include <string>
#include <string_view>
#include <vector>

/// State dumps: the inputs of a node's placements as JSON, so that a decision can be reproduced and
/// explained outside of the node.
///
/// A dump contains the fleet's engines with their loads, the models, the objective and the first
/// entries of the cache view. It contains no keys, no survival statistics and none of the node's
/// requests in flight: an explanation uses the defaults for those.
namespace vanilladyke {

/// @brief Maximum cache entries in a dump; about 130 bytes each.
inline constexpr std::size_t MostDumpedEntries = 20'000;

/// @brief A parsed dump.
struct StateDump
{
    Fleet fleet;
    std::vector<CacheEntry> cache;
};

/// @brief Serializes a dump.
/// @param cache entries of engines that are not in the fleet are omitted
[[nodiscard]] std::string writeStateDump(const Fleet &fleet, const std::vector<CacheEntry> &cache,
                                         TimePoint now);

/// @brief Parses a dump; ages are relative to @p now. On failure, all errors are returned.
[[nodiscard]] Outcome<StateDump, std::vector<FieldError>> readStateDump(std::string_view text,
                                                                        TimePoint now);

} // namespace vanilladyke
