#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

/// To whom a node sends its news so that every other node gets them.
///
/// Load pattern: hundreds of nodes in five data centres tell each other of their load. Four fifths
/// of what each sends goes to other data centres, where bytes are dear, the same datagram sixty
/// times. Sent once to one node of each, which passes it on to those beside it, it crosses once.
/// The node that passes it on is drawn anew each time among those that were heard of lately: one
/// that is gone or cut off loses one telling, and the next goes another way.
namespace vanilladyke {

/// @brief One node's view. Pure.
/// @tparam Address of a node; has an order
template <typename Address>
class NewsRoutes
{
public:
    /// With fewer nodes in a data centre each is told directly: a detour would save too little.
    static constexpr std::size_t LeastPassedOn = 5;
    static constexpr Duration HeardLife = std::chrono::seconds(8);

    /// @brief Who gets a telling.
    struct Recipients
    {
        std::vector<Address> direct;
        std::vector<Address> passOn; ///< these tell all nodes of their data centre
    };

    /// @param dataCentre hash of its name
    explicit NewsRoutes(std::uint64_t dataCentre)
        : m_dataCentre(dataCentre)
    {}

    /// @brief The nodes that there may be; what was heard of those that stay is kept.
    void setNodes(const std::vector<Address> &nodes)
    {
        std::map<Address, Node> next;
        for (const Address &each : nodes) {
            const auto known = m_nodes.find(each);
            next[each] = known == m_nodes.end() ? Node() : known->second;
        }
        m_nodes = std::move(next);
    }
    /// @return whether the node was not known
    bool heard(const Address &node, std::uint64_t dataCentre, TimePoint now)
    {
        const auto [known, isNew] = m_nodes.try_emplace(node);
        known->second.dataCentre = dataCentre;
        known->second.heardAt = now;
        return isNew;
    }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

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
            if (nodes.size() < LeastPassedOn) {
                for (const Entry *each : nodes) {
                    result.direct.push_back(each->first);
                }
            } else {
                result.passOn.push_back(draw(nodes, random, now));
            }
        }
        return result;
    }
    /// @brief Nodes of this data centre, to which news of others are passed on.
    [[nodiscard]] std::vector<Address> beside() const
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
        TimePoint heardAt;
    };
    using Entry = std::pair<const Address, Node>;

    static const Address &draw(const std::vector<const Entry *> &nodes, Random &random,
                               TimePoint now)
    {
        std::vector<const Entry *> live;
        for (const Entry *each : nodes) {
            if (now - each->second.heardAt <= HeardLife) {
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
