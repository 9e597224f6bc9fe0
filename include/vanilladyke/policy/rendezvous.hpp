#pragma once

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Rendezvous hashing: the preferred engines of a prefix, to which every node sends a prefix that
/// is not in its cache view.
///
/// Load pattern: many nodes that do not coordinate, and routers that restart together with empty
/// views. Without a common order each node would cache the prefix on a different engine. The order
/// is weighted rendezvous hashing over groups of engines and plain rendezvous hashing within a
/// group: when an engine is added or removed, only the prefixes that it gains or loses move.
namespace vanilladyke {

/// @brief Returns up to @p most engines in the prefix's order, as indices into Fleet::engines.
[[nodiscard]] std::vector<std::uint32_t> rendezvousOrder(const ModelEngines &engines,
                                                         const ChainHash &prefix, std::size_t most);

/// @brief The cuts that determine the preferred engines.
struct SharedLevels
{
    PrefixCut shared;  ///< end of the longest message that other prompts can share
    PrefixCut deepest; ///< end of the last such message
};

/// @brief Finds the levels of a prompt. Depends on the prompt alone, so that all nodes agree.
/// @return none for a prompt without cuts
[[nodiscard]] std::optional<SharedLevels> sharedLevels(const PrefixChain &chain);

} // namespace vanilladyke
