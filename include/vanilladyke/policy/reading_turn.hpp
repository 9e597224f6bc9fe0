#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <unordered_map>

/// Which node of a data centre reads the platform's store for the others.
///
/// Load pattern: nodes come, fail and freeze all day, and none of them may stand for another one
/// that it believes to be there. All compute the same order of the nodes that they heard of lately;
/// the first one reads. One that asks it and hears nothing reads for itself and asks the next one
/// for a while. Where nodes disagree, two read, which costs calls and nothing else.
namespace vanilladyke {

/// @brief One node's view. Pure. Nodes and data centres are named by hashes.
class ReadingTurn
{
public:
    /// In a smaller data centre each node reads for itself: it would save too few calls.
    static constexpr std::size_t LeastNodes = 4;
    static constexpr Duration HeardLife = std::chrono::seconds(8);
    static constexpr Duration FirstDoubt = std::chrono::seconds(2);
    static constexpr Duration LongestDoubt = std::chrono::seconds(16);

    ReadingTurn(std::uint64_t self, std::uint64_t dataCentre);

    void heard(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint,
               TimePoint now);
    /// @brief Whether this node is among the first of all nodes that live, in every data centre.
    [[nodiscard]] bool isAmongFirst(std::size_t most, TimePoint now) const;
    /// @brief The node to ask; none: this node reads for itself.
    [[nodiscard]] std::optional<std::uint64_t> whomToAsk(TimePoint now) const;
    [[nodiscard]] Endpoint endpointOf(std::uint64_t node) const;
    void answered(std::uint64_t node);
    /// @brief It did not answer in time, or knew too little.
    void doubt(std::uint64_t node, TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

private:
    struct Node
    {
        Endpoint endpoint;
        TimePoint heardAt;
        TimePoint doubtedUntil = TimePoint::min();
        Duration doubt{};
    };

    [[nodiscard]] std::uint64_t orderOf(std::uint64_t node) const;

    std::uint64_t m_self;
    std::uint64_t m_dataCentre;
    std::unordered_map<std::uint64_t, Node> m_nodes; ///< of this data centre, without this one
    std::unordered_map<std::uint64_t, TimePoint> m_others; ///< of all data centres; heard when
};

} // namespace vanilladyke
