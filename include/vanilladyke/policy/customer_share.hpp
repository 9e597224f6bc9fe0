#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/node_load.hpp"
#include "vanilladyke/policy/return_book.hpp"
#include "vanilladyke/policy/token_bucket.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Customer limits that hold over all nodes, without agreement between them.
///
/// Load pattern: one customer sends above its limit, through one node or through many. Without
/// shares each node would allow the whole limit, and the fleet as many times it as there are
/// nodes; with equal shares a customer whose connections all reach one node would get a fraction
/// of what it pays for. Each node therefore takes the part of the limit that its observed demand
/// has in the demand of all nodes, as they last told it.
///
/// Grounds for the figures: a tenth of every limit is split equally (EqualPart), so that a node
/// that sees a customer for the first time serves it at once, before the others have heard; with
/// equal views the shares add up to the limit exactly. Demand is averaged over DemandWindow, a few
/// times the span between two reports of a peer, so that one burst does not swing the shares; a
/// peer's word counts for PeerLoadLife, several such spans. A peer that was not heard of is taken
/// to have the mean demand of those that were.
namespace vanilladyke {

/// @brief The part of a limit that one node may give out.
/// @param own this node's demand
/// @param others demand of the peers that were heard of
/// @param heardPeers how many those are
/// @param liveNodes all nodes, this one included
[[nodiscard]] double demandShare(double own, double others, std::uint32_t heardPeers,
                                 std::uint32_t liveNodes);

/// @brief This node's part of every customer's limit.
class CustomerLimiter
{
public:
    /// @brief Takes the tokens from the customer's bucket.
    /// @return on refusal, when the same request would pass
    [[nodiscard]] Outcome<void, TimePoint> take(const Customer &customer, double tokens,
                                                std::uint32_t liveNodes, TimePoint now);
    /// @brief What a peer told of its demand; it replaces what that peer told before.
    void hear(const NodeId &peer, const std::vector<CustomerDemand> &demand, TimePoint now);
    /// @brief What to tell the peers: the customers with the largest demand here, MostToldDemands
    /// at most.
    [[nodiscard]] std::vector<CustomerDemand> ownDemand(TimePoint now) const;
    /// @brief The part of the customer's limit that this node gives out now.
    [[nodiscard]] double share(const CustomerId &customer, std::uint32_t liveNodes,
                               TimePoint now) const;

private:
    struct Demand
    {
        double perSecond = 0;
        TimePoint at;

        void add(double tokens, TimePoint now);
        [[nodiscard]] double rate(TimePoint now) const;
    };
    struct Own
    {
        Demand demand;
        TokenBucket bucket;
    };
    struct Peer
    {
        std::unordered_map<CustomerId, double> demand;
        TimePoint heardAt;
    };

    std::unordered_map<CustomerId, Own> m_own;
    std::unordered_map<NodeId, Peer> m_peers;
    ReturnBook m_returns;
};

} // namespace vanilladyke
