#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/experiment/engine_model.hpp"
#include "vanilladyke/experiment/trace.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <concepts>
#include <optional>
#include <vector>

/// What a node does with requests, as the simulation drives it: one way of routing is one type.
namespace vanilladyke {

/// @brief What a node decided on a request. Until there is a decision the request waits there.
struct NodeDecision
{
    std::size_t request = 0;           ///< index into the trace
    std::optional<std::size_t> engine; ///< none: refused
};

/// @brief One node's part of a way of routing.
template <typename T>
concept NodePolicy = requires(T &node, std::size_t index, const SimRequest &request, TimePoint now,
                              std::vector<NodeDecision> &decisions, const LoadReport &load,
                              const std::vector<CacheChange> &changes, bool gap)
{
    /// A request came in.
    node.offer(index, request, now);
    /// Adds what the node decides now; called after each offer and every few milliseconds.
    node.decide(now, decisions);
    /// A load report of one engine came in, late.
    node.reported(index, load);
    /// Cache events of one engine came in, late; after a gap some before them are lost.
    node.cacheChanged(index, changes, gap, now);
    /// The first token of a request that this node placed; the engine tells what it had cached.
    node.firstToken(index, request, index, now);
    node.finished(index, now);
};

/// @brief The fleet of a deployment with no load, as each node starts.
[[nodiscard]] Fleet makeFleet(const Deployment &deployment);

/// @brief The one model of all deployments here.
[[nodiscard]] const ModelId &experimentModel();

} // namespace vanilladyke
