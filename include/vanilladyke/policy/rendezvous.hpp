#pragma once

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Homes of prefixes: the engines to which every node sends a prefix that it knows nothing of.
///
/// Load pattern: many nodes that don't talk, and routers that restart in herds with empty views.
/// Without homes each node would warm another engine. The order is a weighted rendezvous over
/// groups of engines and a plain one inside a group: when an engine comes or goes, only the
/// prefixes that it wins or loses move.
namespace vanilladyke {

/// @brief The first engines of the prefix's order, best first, as indices into Fleet::engines.
[[nodiscard]] std::vector<std::uint32_t> rendezvousOrder(const ModelEngines &engines,
                                                         const ChainHash &prefix, std::size_t most);

/// @brief The cuts that decide on homes.
struct SharedLevels
{
    PrefixCut shared;  ///< end of the longest message that other prompts may share
    PrefixCut deepest; ///< end of the last such message
};

/// @brief Levels of the prompt, from the prompt alone, so that all nodes find the same.
/// @return none for a prompt without any cut
[[nodiscard]] std::optional<SharedLevels> sharedLevels(const PrefixChain &chain);

} // namespace vanilladyke
