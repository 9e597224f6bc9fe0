#pragma once

#include "vanilladyke/node/follow_context.hpp"

/// The key that signs datagrams between nodes, which the fleet's first node writes to the store.
namespace vanilladyke {

/// @brief Reads the fleet's key from the store, or writes one if there is none. Tries until it has
/// the key. Runs on the control thread.
/// @param context must outlive the call
/// @param known the key that this node had before the store came back from an older copy, which is
/// written if there is none; empty: a random one is
/// @return none if the followers were stopped
[[nodiscard]] asio::awaitable<std::optional<std::string>> findFleetKey(FollowContext &context,
                                                                       std::string known);

} // namespace vanilladyke
