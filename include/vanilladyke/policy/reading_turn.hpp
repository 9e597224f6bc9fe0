#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <unordered_map>

/// Which node reads the platform's store for others.
///
/// Load pattern: nodes come, fail and freeze all day, and none of them may stand for another one
/// that it believes to be there. All compute the same order of the nodes that they heard of lately;
/// the first one reads. One that asks it and hears nothing reads for itself and asks the next one
/// for a while. Where nodes disagree, two read, which costs calls and nothing else.
///
/// A small fleet has one reader. In a larger one the nodes of each data centre share one, so that
/// nobody is asked by hundreds; where a data centre has too few nodes for that, they ask the first
/// one of the whole fleet. With four nodes in each of five data centres, twenty nodes would
/// otherwise make the calls of five readers or more.
namespace vanilladyke {

/// @brief One node's view. Pure. Nodes and data centres are named by hashes.
class ReadingTurn
{
public:
    /// Fewer nodes read each for itself: it would save too few calls, and each hears of a change
    /// sooner from the store than from another node.
    static constexpr std::size_t LeastNodes = 10;
    /// So many nodes ask one: what it answers takes little of a small host.
    static constexpr std::size_t MostTogether = 32;
    static constexpr Duration HeardLife = std::chrono::seconds(8);
    static constexpr Duration FirstDoubt = std::chrono::seconds(2);
    static constexpr Duration LongestDoubt = std::chrono::seconds(16);

    ReadingTurn(std::uint64_t self, std::uint64_t dataCentre);

    void heard(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint,
               TimePoint now);
    /// @brief This node's place among all nodes that live; the first has 0.
    [[nodiscard]] std::size_t rank(TimePoint now) const;
    /// @brief The node to ask; none: this node reads for itself.
    [[nodiscard]] std::optional<std::uint64_t> whomToAsk(TimePoint now) const;
    [[nodiscard]] Endpoint endpointOf(std::uint64_t node) const;
    void answered(std::uint64_t node);
    /// @brief It did not answer in time, or knew too little.
    void doubt(std::uint64_t node, TimePoint now);
    /// @brief Nodes that were heard of, without this one.
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

private:
    struct Node
    {
        std::uint64_t dataCentre = 0;
        Endpoint endpoint;
        TimePoint heardAt;
        TimePoint doubtedUntil = TimePoint::min();
        Duration doubt{};
    };

    /// @param group data centre, or none for the whole fleet
    [[nodiscard]] static std::uint64_t orderOf(std::uint64_t node,
                                               std::optional<std::uint64_t> group);
    [[nodiscard]] static bool isLive(const Node &node, TimePoint now);
    /// @return data centre, or none for the whole fleet
    [[nodiscard]] std::optional<std::uint64_t> groupAt(TimePoint now) const;
    void forgetSilent(TimePoint now);

    std::uint64_t m_self;
    std::uint64_t m_dataCentre;
    std::unordered_map<std::uint64_t, Node> m_nodes;
    TimePoint m_forgotAt = TimePoint::min();
};

} // namespace vanilladyke
