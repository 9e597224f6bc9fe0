#pragma once

#include "vanilladyke/node/record_store.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/back_off.hpp"
#include "vanilladyke/policy/record_relay.hpp"
#include "vanilladyke/policy/store_reader_selection.hpp"

#include <atomic>

namespace vanilladyke {

/// @brief What a node says of itself to others.
struct NodeIdentity
{
    std::string name;
    std::uint64_t hash = 0;
    std::uint64_t dataCentre = 0; ///< hash of its name
    Endpoint peers;               ///< where it hears from others
};

/// @brief What another node knows beyond two offsets.
struct SharedNews
{
    std::optional<RecordRelay::Updates> configuration;
    std::optional<RecordRelay::Updates> backends;
};

/// @brief Asks another node; none if it does not answer in time.
using AskPeer = std::function<asio::awaitable<std::optional<SharedNews>>(
        Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)>;

/// @brief Within which times what the store tells has to be known.
struct FollowTerms
{
    Duration drain = std::chrono::milliseconds(2000); ///< a leaving server
    Duration apply = std::chrono::milliseconds(2000); ///< a change of the configuration
    bool asksOthers = true; ///< a node that reads the store for others is asked
};

/// @brief Follows the operator's records, the servers' entries and the list of nodes, by the store
/// or by a node of the same data centre that reads it. Runs on the control thread.
///
/// Whatever the way, what is known is never older than the bounds that hold for a node that reads
/// for itself: an answer carries the age of its proof, counted from before the question was sent,
/// and when the proof grows too old this node reads.
class StateFollower
{
public:
    StateFollower(asio::io_context &context, RecordStore &store, const StateTranslator &translator,
                  StateListener &listener, StoreCalls &calls, NodeIdentity self, FollowTerms terms,
                  std::uint64_t seed);

    void start();
    void stop() { m_stopped = true; }
    /// @brief How to ask other nodes; until then this node reads for itself.
    void setAskPeer(AskPeer ask) { m_ask = std::move(ask); }
    void heardNode(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint);
    /// @brief Another node knows the operator's records up to this offset. If a call of this node's
    /// own that waits for them was passed over, it is not waited for.
    void heardOperatorNext(std::uint64_t next);
    /// @brief Up to which offset this node knows the operator's records. From any thread.
    [[nodiscard]] std::uint64_t operatorNext() const { return m_operatorNext; }
    /// @brief This node's place among those that stand by for what one node does for all, the
    /// first has 0. @return none if it is not among them
    [[nodiscard]] std::optional<std::size_t> standbyRank() const;
    /// @brief Other nodes that were heard of lately.
    [[nodiscard]] std::size_t otherNodes() const { return m_turn.size(); }
    /// @brief What this node can tell one that asks.
    [[nodiscard]] SharedNews newsSince(std::uint64_t operatorNext,
                                       std::uint64_t backendsNext) const;
    /// @brief The key with which nodes sign; called once it is known.
    std::function<void(std::string key)> fleetKeyKnown;

private:
    /// What is known of one topic.
    struct Topic
    {
        RecordRelay relay;
        std::uint64_t next = 0;
        bool isListed = false;
        bool mustRead = false;  ///< the node that was asked could not tell
        bool isReading = false; ///< a call of this node's own is under way
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
    [[nodiscard]] asio::awaitable<void> askOthers();
    [[nodiscard]] asio::awaitable<void> pause(Duration span);
    [[nodiscard]] asio::awaitable<void> failed(BackOff &backOff);
    [[nodiscard]] bool readsForOthers() const;
    [[nodiscard]] bool isShared(const Topic &topic, Duration limit) const;
    /// Why this node reads the topic itself.
    [[nodiscard]] CallCause whyRead(const Topic &topic) const;
    /// @param age how long ago the record was written, at most
    /// @param by who told of it, for the log
    void applyOperator(std::uint64_t offset, const std::string &record, Duration age,
                       std::string_view by);
    void applyBackend(std::uint64_t offset, std::string record);
    void proveOperator(TimePoint at);
    /// @param from offset of the page's first record
    /// @param provedAt the page shows all that was written before
    void takeOperatorPage(const RecordPage &page, std::uint64_t from, TimePoint provedAt);
    void knowOperatorUpTo(std::uint64_t next);
    [[nodiscard]] asio::awaitable<void> catchUp();
    void take(const SharedNews &news, TimePoint askedAt);
    static void mustRead(Topic *topic, const std::optional<RecordRelay::Updates> &news,
                         TimePoint askedAt);
    /// How long a node that reads for others waits for the operator's next record.
    [[nodiscard]] Duration waitForOthers(TimePoint now) const;
    /// Whether what another node tells is too old to stand for a call of this node's own.
    [[nodiscard]] bool isBehind(const SharedNews &news) const;
    void knowFleetKey(std::string key) const;
    void takeOperator(const RecordRelay::Updates &news, TimePoint askedAt);

    asio::io_context &m_context;
    RecordStore &m_store;
    const StateTranslator &m_translator;
    StateListener &m_listener;
    StoreCalls &m_calls;
    NodeIdentity m_self;
    FollowTerms m_terms;
    Random m_random;
    StoreReaderSelection m_turn;
    AskPeer m_ask;
    Topic m_operator;
    Topic m_backends;
    TimePoint m_listedAt = TimePoint(); ///< when the operator's records were
    std::uint64_t m_heardNext = 0;      ///< up to which another node knows the operator's records
    std::uint64_t m_refutedNext = 0;    ///< the store ends before what was heard up to here
    bool m_isCatchingUp = false;        ///< with what another node knows
    std::atomic<std::uint64_t> m_operatorNext{0};
    bool m_stopped = false;
};

} // namespace vanilladyke
