#pragma once

#include "vanilladyke/node/record_store.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/back_off.hpp"
#include "vanilladyke/policy/record_relay.hpp"
#include "vanilladyke/policy/store_reader_selection.hpp"

#include <atomic>

namespace vanilladyke {

/// @brief The identity that a node sends to other nodes.
struct NodeIdentity
{
    std::string name;
    std::uint64_t hash = 0;
    std::uint64_t dataCentre = 0; ///< hash of the data centre's name
    Endpoint peers;               ///< where it receives datagrams of other nodes
};

/// @brief Records read by another node, of each topic from a given offset on; none if that node
/// can't send them.
struct SharedUpdates
{
    std::optional<RecordRelay::Updates> configuration;
    std::optional<RecordRelay::Updates> backends;
};

/// @brief Requests updates from another node; none if it doesn't answer in time.
using AskPeer = std::function<asio::awaitable<std::optional<SharedUpdates>>(
        Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)>;

/// @brief Time limits within which changes in the store have to take effect on this node.
struct FollowLimits
{
    Duration drain = std::chrono::milliseconds(2000); ///< removal of a draining server
    Duration apply = std::chrono::milliseconds(2000); ///< a change of the configuration
    bool sharesStoreReads = true; ///< whether to ask a node that reads the store for others
};

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
                  StateListener &listener, StoreCalls &calls, NodeIdentity self,
                  FollowLimits limits, std::uint64_t seed);

    void start();
    void stop() { m_stopped = true; }
    /// @brief Sets the function that asks other nodes; until then this node reads the store itself.
    void setAskPeer(AskPeer ask) { m_ask = std::move(ask); }
    /// @brief Another node was seen at @p endpoint, where it answers requests for updates.
    void nodeSeen(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint);
    /// @brief Another node has read the operator's records up to this offset. If the store doesn't
    /// answer this node's waiting call soon, a second call reads them.
    void receivedOperatorNext(std::uint64_t next);
    /// @brief The offset up to which this node has read the operator's records. Thread-safe.
    [[nodiscard]] std::uint64_t operatorNext() const { return m_operatorNext; }
    /// @brief This node's rank, from 0, among the standby nodes for tasks that one node does for
    /// all. @return none if it is not one of them
    [[nodiscard]] std::optional<std::size_t> standbyRank() const;
    /// @brief Number of other nodes that were seen recently.
    [[nodiscard]] std::size_t otherNodes() const { return m_readers.size(); }
    /// @brief The answer to a node that requests updates.
    [[nodiscard]] SharedUpdates updatesSince(std::uint64_t operatorNext,
                                             std::uint64_t backendsNext) const;
    /// @brief Called once with the key that signs datagrams between nodes.
    std::function<void(std::string key)> onFleetKey;

private:
    /// State of one followed topic.
    struct Topic
    {
        RecordRelay relay;
        std::uint64_t next = 0;
        bool isListed = false;
        bool mustRead = false;  ///< the reader's answer lacked this topic
        bool isReading = false; ///< this node's own call is pending
        TimePoint provedAt = TimePoint::min();
    };

    [[nodiscard]] asio::awaitable<void> followOperator();
    [[nodiscard]] asio::awaitable<void> readOperator(BackOff &backOff);
    [[nodiscard]] asio::awaitable<bool> listOperator();
    [[nodiscard]] asio::awaitable<void> followBackends();
    [[nodiscard]] asio::awaitable<void> readBackends(BackOff &backOff);
    [[nodiscard]] asio::awaitable<bool> listBackends();
    [[nodiscard]] asio::awaitable<void> followNodes();
    [[nodiscard]] asio::awaitable<void> findFleetKey();
    [[nodiscard]] asio::awaitable<void> followReader();
    [[nodiscard]] asio::awaitable<void> pause(Duration span);
    [[nodiscard]] asio::awaitable<void> failed(BackOff &backOff);
    [[nodiscard]] bool readsForOthers() const;
    [[nodiscard]] bool isShared(const Topic &topic, Duration limit) const;
    /// Why this node reads the topic from the store itself.
    [[nodiscard]] CallCause readCause(const Topic &topic) const;
    /// @param age upper bound of the record's age
    /// @param by source of the record, for the log
    void applyOperator(std::uint64_t offset, const std::string &record, Duration age,
                       std::string_view by);
    void applyBackend(std::uint64_t offset, std::string record);
    void renewOperatorProof(TimePoint at);
    /// @param from offset of the page's first record
    /// @param provedAt time up to which the page is known to be complete
    void applyOperatorPage(const RecordPage &page, std::uint64_t from, TimePoint provedAt);
    void setOperatorNext(std::uint64_t next);
    [[nodiscard]] asio::awaitable<void> catchUp();
    void applyUpdates(const SharedUpdates &updates, TimePoint requestedAt);
    static void mustRead(Topic *topic, const std::optional<RecordRelay::Updates> &updates,
                         TimePoint requestedAt);
    /// How long a reader's call waits for the operator's next record.
    [[nodiscard]] Duration readerWait(TimePoint now) const;
    /// Whether another node's freshness proof is too old to replace an own call to the store.
    [[nodiscard]] bool isBehind(const SharedUpdates &updates) const;
    void reportFleetKey(std::string key) const;
    void applyOperatorUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt);

    asio::io_context &m_context;
    RecordStore &m_store;
    const StateTranslator &m_translator;
    StateListener &m_listener;
    StoreCalls &m_calls;
    NodeIdentity m_self;
    FollowLimits m_limits;
    Random m_random;
    StoreReaderSelection m_readers;
    AskPeer m_ask;
    Topic m_operator;
    Topic m_backends;
    TimePoint m_listedAt = TimePoint(); ///< when the operator's records were last listed
    std::uint64_t m_receivedNext = 0;   ///< highest offset up to which another node has read
    std::uint64_t m_rejectedNext = 0;   ///< received offsets up to here exceed the store's end
    bool m_isCatchingUp = false;        ///< with the offset received from another node
    std::atomic<std::uint64_t> m_operatorNext{0};
    bool m_stopped = false;
};

} // namespace vanilladyke
