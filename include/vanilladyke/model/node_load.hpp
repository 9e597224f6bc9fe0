#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstddef>
#include <memory>
#include <vector>

/// What a node tells its peers of the load that it sees.
///
/// It rides on the messages of membership, to random peers, so that it costs a node the same at any
/// size of the fleet. Readers take the peers that they heard of lately for a sample of all.
namespace vanilladyke {

/// @brief Tokens a second that a customer asked of one node, refused ones included.
struct CustomerDemand
{
    CustomerId customer;
    double tokensPerSecond = 0;
    bool operator==(const CustomerDemand &) const = default;
};

/// @brief Most customers that one message tells of: the largest demands. Sixteen take some 300
/// bytes; a message for each probe and answer keeps that near a kilobyte a second.
inline constexpr std::size_t MostToldDemands = 16;

/// @brief The load at one node.
struct NodeLoad
{
    std::vector<ModelId> waiting; ///< models for which requests wait in its queue
    std::vector<CustomerDemand> demand;
    bool operator==(const NodeLoad &) const = default;
};

/// @brief A peer's load as it told it last.
struct PeerLoad
{
    NodeId node;
    TimePoint heardAt;
    std::shared_ptr<const NodeLoad> load;
};

/// @brief How long a peer's word on its load counts: several times the span between two of its
/// messages, and short against the time in which load moves for good.
inline constexpr Duration PeerLoadLife = std::chrono::seconds(5);

} // namespace vanilladyke
