#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/node_load.hpp"
#include "vanilladyke/policy/return_reservations.hpp"
#include "vanilladyke/policy/token_bucket.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Rate limits per customer that hold over all nodes, without coordination between them.
///
/// Load pattern: one customer sends above its limit, through one node or many. If every node
/// allowed the whole limit, the fleet would allow it once per node. With equal shares, a customer
/// whose connections all reach one node would get a fraction of what it pays for. Each node
/// therefore takes a share of the limit in proportion to its observed demand relative to the demand
/// of all nodes, as last reported by them.
///
/// Constants: a tenth of every limit is split equally (EqualPart), so that a node that sees a
/// customer for the first time serves it at once, before the other nodes have received the update.
/// With equal views the shares add up to the limit exactly. Demand is averaged over DemandWindow, a
/// few times the interval between two reports of a peer, so that one burst does not swing the
/// shares. A report of a peer is valid for PeerLoadLife, several such intervals. A peer without a
/// valid report is assumed to have the mean demand of those with one.
namespace vanilladyke {

/// @brief The share of a limit that one node may grant, in [0, 1].
/// @param own demand at this node
/// @param others summed demand of the peers that reported
/// @param reportingPeers number of peers that reported
/// @param liveNodes number of live nodes, this one included
[[nodiscard]] double demandShare(double own, double others, std::uint32_t reportingPeers,
                                 std::uint32_t liveNodes);

/// @brief This node's share of every customer's limit.
class CustomerLimiter
{
public:
    /// @brief Takes the tokens from the customer's bucket.
    /// @return on refusal, the time at which the same request would be admitted
    [[nodiscard]] Outcome<void, TimePoint> take(const Customer &customer, double tokens,
                                                std::uint32_t liveNodes, TimePoint now);
    /// @brief Records a peer's reported demand; replaces its previous report.
    void recordPeerDemand(const NodeId &peer, const std::vector<CustomerDemand> &demand,
                          TimePoint now);
    /// @brief The demand to report to the peers: the customers with the largest demand at this
    /// node, at most MostToldDemands.
    [[nodiscard]] std::vector<CustomerDemand> ownDemand(TimePoint now) const;
    /// @brief The share of the customer's limit that this node grants now, in [0, 1].
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
        TimePoint receivedAt;
    };

    std::unordered_map<CustomerId, Own> m_own;
    std::unordered_map<NodeId, Peer> m_peers;
    ReturnReservations m_returns;
};

} // namespace vanilladyke
