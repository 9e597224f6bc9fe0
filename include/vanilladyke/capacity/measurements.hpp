#pragma once

#include "vanilladyke/capacity/slope.hpp"

#include <vector>

/// The slopes of each role that a node plays, measured on this machine with the product's own code.
namespace vanilladyke {

/// @brief Membership: bytes, messages and processor time of a node against the number of nodes.
[[nodiscard]] std::vector<Slope> measureMembership();
/// @brief Peer connections over ZeroMQ with CURVE: memory a connection, processor time a message.
[[nodiscard]] std::vector<Slope> measurePeerLinks();
/// @brief The control thread's work for engines: reports taken in, fleets published.
[[nodiscard]] std::vector<Slope> measureEngines();
/// @brief Customers: naming one by its key, and reading a bundle that declares them.
[[nodiscard]] std::vector<Slope> measureCustomers();
/// @brief The entry: cutting a prompt into its prefix chain.
[[nodiscard]] std::vector<Slope> measurePrompts();
/// @brief Metrics: counting, and printing the text that a scrape gets.
[[nodiscard]] std::vector<Slope> measureMetrics();
/// @brief Placement decisions and the cache view that they look into.
[[nodiscard]] std::vector<Slope> measurePlacement();
/// @brief The fair queue: a job pushed and taken again.
[[nodiscard]] std::vector<Slope> measureQueue();
/// @brief Claims of calls that may not be repeated: taken in and held.
[[nodiscard]] std::vector<Slope> measureClaims();
/// @brief Memory of the members that a node knows.
[[nodiscard]] std::vector<Slope> measureMembers();

} // namespace vanilladyke
