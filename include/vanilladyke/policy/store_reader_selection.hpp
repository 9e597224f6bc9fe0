#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <unordered_map>

/// Selects the node that reads the platform's store on behalf of others.
///
/// Load pattern: nodes join, fail and hang at any time, so no node may depend on another one that
/// may be down. All nodes compute the same order of the nodes seen recently, and the first one
/// reads the store. A node that gets no answer from it reads the store itself, and asks the next
/// node during a back-off. If the views of nodes differ, two nodes read, which only costs calls.
///
/// A small fleet has one reader. In a larger one the nodes of each data centre share a reader, so
/// that no reader serves hundreds of nodes. If a data centre has too few nodes, they ask the reader
/// of the whole fleet: with four nodes in each of five data centres, twenty nodes would otherwise
/// make the calls of five readers or more.
namespace vanilladyke {

/// @brief The reader selection of one node. Pure: performs no I/O. Nodes and data centres are
/// identified by hashes of their names.
class StoreReaderSelection
{
public:
    /// With fewer nodes each reads the store itself: sharing would save too few calls, and changes
    /// arrive sooner from the store than from another node.
    static constexpr std::size_t MinNodes = 10;
    /// Largest fleet with a single reader; answering so many nodes takes little of a small host.
    static constexpr std::size_t MaxNodesPerReader = 32;
    /// A node that was not seen for longer is not selected.
    static constexpr Duration SeenTimeout = std::chrono::seconds(8);
    static constexpr Duration InitialBackOff = std::chrono::seconds(2);
    static constexpr Duration MaxBackOff = std::chrono::seconds(16);

    StoreReaderSelection(std::uint64_t self, std::uint64_t dataCentre);

    /// @brief Records that a message of the node was received.
    /// @param endpoint where the node answers queries
    void nodeSeen(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint,
                  TimePoint now);
    /// @brief This node's position among all live nodes, from 0.
    [[nodiscard]] std::size_t rank(TimePoint now) const;
    /// @brief The node to ask; none if this node reads the store itself.
    [[nodiscard]] std::optional<std::uint64_t> readerToAsk(TimePoint now) const;
    /// @return an empty endpoint if the node is unknown
    [[nodiscard]] Endpoint endpointOf(std::uint64_t node) const;
    /// @brief Resets the node's back-off after an answer.
    void answered(std::uint64_t node);
    /// @brief Starts or doubles the node's back-off: it did not answer in time, or its data was too
    /// old.
    void backOff(std::uint64_t node, TimePoint now);
    /// @brief Number of nodes seen recently, without this one.
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

private:
    struct Node
    {
        std::uint64_t dataCentre = 0;
        Endpoint endpoint;
        TimePoint lastSeenAt;
        TimePoint backOffUntil = TimePoint::min();
        Duration backOffSpan{};
    };

    /// @param group the data centre, or none for the whole fleet
    [[nodiscard]] static std::uint64_t rankingHash(std::uint64_t node,
                                                   std::optional<std::uint64_t> group);
    [[nodiscard]] static bool isLive(const Node &node, TimePoint now);
    /// @return the data centre that shares a reader, or none for the whole fleet
    [[nodiscard]] std::optional<std::uint64_t> groupAt(TimePoint now) const;
    void removeUnresponsive(TimePoint now);

    std::uint64_t m_self;
    std::uint64_t m_dataCentre;
    std::unordered_map<std::uint64_t, Node> m_nodes;
    TimePoint m_cleanedUpAt = TimePoint::min();
};

} // namespace vanilladyke
