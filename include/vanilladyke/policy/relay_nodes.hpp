#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Selects the node that sends a request on where this node does not reach the service's servers.
///
/// Load pattern: some nodes, at times most of a data centre, are partitioned from all servers while
/// callers still connect to them. The other nodes reach the servers, so a request goes there in one
/// hop. What happens without it: every request that is read here is lost or refused, although the
/// servers are idle.
///
/// The load is spread: of two nodes drawn at random the one with fewer relayed requests of this
/// node takes the request, in this node's data centre if one there can. A node that refuses, breaks
/// off or can't be reached gets nothing for FailurePause. With hundreds of nodes this needs no full
/// mesh, and connections are opened to a few nodes only.
namespace vanilladyke {

/// @brief A node that sends requests on for others.
struct RelayNode
{
    std::uint64_t node = 0; ///< hash of its name
    Endpoint endpoint;      ///< where it takes requests of other nodes
};

/// @brief Name under which connections to a relay are kept and logged, beside those of servers.
[[nodiscard]] EngineId relayId(const Endpoint &relay);
[[nodiscard]] bool isRelayId(const EngineId &id);

/// @brief The nodes that this node hears of, as possible relays. Pure.
class RelayNodes
{
public:
    /// A node without news for so long takes no requests. News of hundreds of nodes come every few
    /// seconds.
    static constexpr Duration SeenTimeout = std::chrono::seconds(8);
    /// After a failure or refusal the node is not asked for this long.
    static constexpr Duration FailurePause = std::chrono::milliseconds(500);
    /// Open requests of this node at one relay. A relay also limits what it takes from all nodes.
    static constexpr int MaxOpenPerNode = 64;

    /// @param dataCentre hash of this node's data centre
    explicit RelayNodes(std::uint64_t dataCentre)
        : m_dataCentre(dataCentre)
    {}

    /// @brief Records the news of a node.
    /// @param endpoint none if the node takes no requests of others
    /// @param unreached hashes of the services that it does not reach itself
    void nodeSeen(std::uint64_t node, std::uint64_t dataCentre, std::optional<Endpoint> endpoint,
                  std::vector<std::uint64_t> unreached, TimePoint now);
    /// @brief Selects a node that reaches the service.
    /// @param exclude endpoints that were asked before
    [[nodiscard]] std::optional<RelayNode> choose(const ServiceId &service,
                                                  const std::vector<Endpoint> &exclude,
                                                  Random &random, TimePoint now) const;
    /// @brief Records that a request was handed to the node.
    void sent(const Endpoint &relay);
    /// @brief Records the end of a request that was handed to the node.
    void ended(const Endpoint &relay);
    /// @brief Records that the node refused, broke off or could not be reached.
    void failed(const Endpoint &relay, TimePoint now);

private:
    struct Node
    {
        std::uint64_t dataCentre = 0;
        std::optional<Endpoint> endpoint;
        std::vector<std::uint64_t> unreached;
        TimePoint seenAt;
    };
    struct Use
    {
        int open = 0;
        TimePoint pausedUntil;
    };

    void removeExpired(TimePoint now);
    [[nodiscard]] int openAt(const Endpoint &relay) const;
    [[nodiscard]] bool isUsable(const Node &node, std::uint64_t service, TimePoint now) const;

    std::uint64_t m_dataCentre;
    std::map<std::uint64_t, Node> m_nodes; ///< by the hash of the name
    std::map<Endpoint, Use> m_uses;
};

} // namespace vanilladyke
