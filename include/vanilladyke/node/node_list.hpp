#pragma once

#include "vanilladyke/node/follow_context.hpp"

/// The list of nodes in the store, by which nodes that have just started find the others.
namespace vanilladyke {

/// @brief The identity that a node sends to other nodes.
struct NodeIdentity
{
    std::string name;
    std::uint64_t hash = 0;
    std::uint64_t dataCentre = 0; ///< hash of the data centre's name
    Endpoint peers;               ///< where it receives datagrams of other nodes
};

/// @brief Adds this node to the list and reports the listed nodes to the listener, until the
/// followers are stopped. Runs on the control thread.
/// @param context must outlive the call
[[nodiscard]] asio::awaitable<void> followNodeList(FollowContext &context, NodeIdentity self);

} // namespace vanilladyke
