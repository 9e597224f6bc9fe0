#pragma once

#include "vanilladyke/node/backends_follower.hpp"
#include "vanilladyke/node/node_list.hpp"
#include "vanilladyke/node/operator_follower.hpp"
#include "vanilladyke/node/software_recorder.hpp"

/// Follows everything that a node reads from the platform's store.
namespace vanilladyke {

/// @brief Follows the operator's records, the servers' entries and the list of nodes, from the
/// store or from a node of the same data centre that reads the store (the reader). Runs on the
/// control thread.
///
/// The same limits on staleness hold for both sources: an answer carries the age of the reader's
/// freshness proof, which counts from before the request was sent, and this node reads the store
/// itself when the proof grows too old.
class StateFollower
{
public:
    StateFollower(asio::io_context &context, RecordStore &store, const StateTranslator &translator,
                  StateListener &listener, StoreCalls &calls, StoreEra &era, NodeIdentity self,
                  FollowLimits limits, std::uint64_t seed);

    void start();
    void stop() { m_context.isStopped = true; }
    /// @brief Sets the function that asks other nodes; until then this node reads the store itself.
    void setAskPeer(AskPeer ask) { m_sharing.ask = std::move(ask); }
    /// @brief Another node was seen at @p endpoint, where it answers requests for updates.
    void nodeSeen(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint);
    /// @brief Another node has read the operator's records up to this offset of this era, which it
    /// has known for @p knownFor. If the store doesn't answer this node's waiting call soon, a
    /// second call reads them.
    void receivedOperatorNext(std::uint64_t era, Duration knownFor, std::uint64_t next);
    /// @brief The store's era in which operatorNext() holds. Thread-safe; to be read before it.
    [[nodiscard]] std::uint64_t operatorEra() const { return m_operator.era(); }
    /// @brief The offset up to which this node has read the operator's records. Thread-safe.
    [[nodiscard]] std::uint64_t operatorNext() const { return m_operator.next(); }
    /// @brief This node's rank, from 0, among the standby nodes for tasks that one node does for
    /// all. @return none if it is not one of them
    [[nodiscard]] std::optional<std::size_t> standbyRank() const;
    /// @brief Number of other nodes that were seen recently.
    [[nodiscard]] std::size_t otherNodes() const { return m_sharing.readers.size(); }
    /// @brief The answer to a node that requests updates.
    [[nodiscard]] SharedUpdates updatesSince(std::uint64_t operatorNext,
                                             std::uint64_t backendsNext) const;
    /// @brief Writes these records of software versions, unless another node has.
    void recordSoftware(SoftwareRecords due) { m_software.setDue(std::move(due)); }
    /// @brief Reads the servers' entries soon, by a call that begins at @p since or later.
    void readBackends(TimePoint since) { m_backends.readSince(since); }
    /// @brief Called with the key that signs datagrams between nodes, and whenever it is replaced.
    std::function<void(std::string key)> onFleetKey;

private:
    [[nodiscard]] asio::awaitable<void> followReader();
    [[nodiscard]] asio::awaitable<void> reportFleetKey();
    /// Takes the eras that another node's answer names.
    void tellEra(const SharedUpdates &updates);
    /// Whether another node's freshness proof is too old to replace an own call to the store.
    [[nodiscard]] bool isBehind(const SharedUpdates &updates) const;

    NodeIdentity m_self;
    FollowContext m_context;
    ReadSharing m_sharing;
    OperatorFollower m_operator{m_context, m_sharing};
    BackendsFollower m_backends{m_context, m_sharing};
    SoftwareRecorder m_software{m_context, m_sharing, m_backends.topic()};
};

} // namespace vanilladyke
