#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

/// Selects the recipients of a node's updates so that every other node receives them.
///
/// Load pattern: hundreds of nodes in five data centres send each other load updates. Four fifths
/// of the traffic would go to other data centres, where bandwidth is expensive, with the same
/// datagram sent sixty times. Instead it is sent once to one node of each data centre, which
/// forwards it to the others in the same data centre. The forwarder is drawn at random for each
/// update from the nodes seen recently: if it is down or unreachable, only one update is lost, and
/// the next one goes through another node.
namespace vanilladyke {

/// @brief The update routes of one node. Pure: performs no I/O.
/// @tparam Address of a node; must be ordered
template <typename Address>
class UpdateRoutes
{
public:
    /// With fewer nodes in a data centre each is sent updates directly: forwarding would save too
    /// little.
    static constexpr std::size_t MinNodesToForward = 5;
    /// A node that was not seen for longer is not selected to forward updates.
    static constexpr Duration SeenTimeout = std::chrono::seconds(8);

    /// @brief The recipients of one update.
    struct Recipients
    {
        std::vector<Address> direct;
        std::vector<Address> forwarders; ///< nodes that forward it in their data centre
    };

    /// @param dataCentre hash of its name
    explicit UpdateRoutes(std::uint64_t dataCentre)
        : m_dataCentre(dataCentre)
    {}

    /// @brief Replaces the list of nodes; the state of those that remain is kept.
    void setNodes(const std::vector<Address> &nodes)
    {
        std::map<Address, Node> next;
        for (const Address &each : nodes) {
            const auto known = m_nodes.find(each);
            next[each] = known == m_nodes.end() ? Node() : known->second;
        }
        m_nodes = std::move(next);
    }
    /// @brief Records that a message of the node was received.
    /// @return whether the node is new
    bool nodeSeen(const Address &node, std::uint64_t dataCentre, TimePoint now)
    {
        const auto [known, isNew] = m_nodes.try_emplace(node);
        known->second.dataCentre = dataCentre;
        known->second.lastSeenAt = now;
        return isNew;
    }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

    /// @brief The recipients of the next update.
    [[nodiscard]] Recipients recipients(Random &random, TimePoint now) const
    {
        Recipients result;
        std::map<std::uint64_t, std::vector<const Entry *>> elsewhere;
        for (const Entry &each : m_nodes) {
            const std::uint64_t centre = each.second.dataCentre;
            if (centre == Unknown || centre == m_dataCentre) {
                result.direct.push_back(each.first);
            } else {
                elsewhere[centre].push_back(&each);
            }
        }
        for (const auto &[centre, nodes] : elsewhere) {
            if (nodes.size() < MinNodesToForward) {
                for (const Entry *each : nodes) {
                    result.direct.push_back(each->first);
                }
            } else {
                result.forwarders.push_back(draw(nodes, random, now));
            }
        }
        return result;
    }
    /// @brief The other nodes in this data centre, to which updates are forwarded.
    [[nodiscard]] std::vector<Address> inSameDataCentre() const
    {
        std::vector<Address> result;
        for (const Entry &each : m_nodes) {
            if (each.second.dataCentre == m_dataCentre) {
                result.push_back(each.first);
            }
        }
        return result;
    }

private:
    static constexpr std::uint64_t Unknown = 0;

    struct Node
    {
        std::uint64_t dataCentre = Unknown;
        TimePoint lastSeenAt;
    };
    using Entry = std::pair<const Address, Node>;

    static const Address &draw(const std::vector<const Entry *> &nodes, Random &random,
                               TimePoint now)
    {
        std::vector<const Entry *> live;
        for (const Entry *each : nodes) {
            if (now - each->second.lastSeenAt <= SeenTimeout) {
                live.push_back(each);
            }
        }
        const std::vector<const Entry *> &from = live.empty() ? nodes : live;
        return from[uniformBelow(random, from.size())]->first;
    }

    std::uint64_t m_dataCentre;
    std::map<Address, Node> m_nodes;
};

} // namespace vanilladyke
