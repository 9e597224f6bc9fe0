#include "vanilladyke/node/state_follower.hpp"

#include "vanilladyke/node/boot_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

/// An in-memory store. Its records are "key=value"; "beat=…" is a server's heartbeat.
class MemoryStore : public RecordStore
{
public:
    explicit MemoryStore(asio::io_context &context)
        : m_context(context)
    {}

    asio::awaitable<Outcome<NewestRecords, StoreError>> newest(StateTopic topic) override
    {
        ++calls;
        if (isDown) {
            co_return failure(StoreError::Unavailable);
        }
        NewestRecords result;
        for (const std::string &record : topics[topic]) {
            result.items.push_back({record.substr(0, record.find('=')), record});
        }
        result.end = topics[topic].size();
        co_return std::move(result);
    }

    asio::awaitable<Outcome<RecordPage, StoreError>> read(StateTopic topic, std::uint64_t from,
                                                          Duration wait) override
    {
        ++calls;
        if (wait > Duration::zero()) {
            ++waitsBegun;
            waits.insert(wait);
        } else if (failsPlainReads && topic == StateTopic::Operator) {
            co_return failure(StoreError::Unavailable);
        }
        const bool isThere = topics[topic].size() > from;
        const TimePoint until = MonotonicClock::now() + wait;
        ++waiting;
        const auto waitsOn = [&] {
            return omitsRecords
                   || (!isThere && (topics[topic].size() == from || missesWaitingCalls));
        };
        while (waitsOn() && MonotonicClock::now() < until) {
            asio::steady_timer timer(m_context, milliseconds(20));
            ErrorCode ignored;
            co_await timer.async_wait(redirectError(ignored));
        }
        --waiting;
        if (omitsRecords && wait > Duration::zero()) {
            co_return RecordPage{from, {}};
        }
        while (isUnresponsive) {
            asio::steady_timer timer(m_context, milliseconds(100));
            ErrorCode ignored;
            co_await timer.async_wait(redirectError(ignored));
        }
        if (isDown) {
            co_return failure(StoreError::Unavailable);
        }
        if (isExpired && topic == StateTopic::Operator) {
            isExpired = false;
            co_return failure(StoreError::Expired);
        }
        RecordPage page;
        page.end = topics[topic].size();
        page.records.assign(topics[topic].begin() + static_cast<std::ptrdiff_t>(from),
                            topics[topic].end());
        co_return std::move(page);
    }

    asio::awaitable<std::optional<AppendResult>> append(StateTopic topic, KeyedRecord record,
                                                        std::optional<std::uint64_t> at) override
    {
        ++calls;
        const bool isAccepted = !at || *at == topics[topic].size();
        if (isAccepted) {
            topics[topic].push_back(record.value);
        }
        co_return AppendResult{isAccepted, topics[topic].size()};
    }

    std::map<StateTopic, std::vector<std::string>> topics;
    int calls = 0;
    bool isDown = false;
    bool isUnresponsive = false;     ///< reads stay without an answer
    bool missesWaitingCalls = false; ///< waiting calls return new records only at their end
    bool omitsRecords = false;       ///< waiting calls never return new records
    bool isExpired = false;          ///< the next read of the operator's records finds them deleted
    bool failsPlainReads = false;    ///< reads of the operator's records that don't wait fail
    int waiting = 0;                 ///< calls that are waiting now
    int waitsBegun = 0;              ///< calls with a wait so far
    std::set<Duration> waits;        ///< distinct waits of calls

private:
    asio::io_context &m_context;
};

class PlainTranslator : public StateTranslator
{
public:
    std::optional<KeyedRecord> split(std::string_view record) const override
    {
        return KeyedRecord{std::string(record.substr(0, record.find('='))), std::string(record)};
    }
    std::string join(const KeyedRecord &record) const override { return record.value; }
    void applyOperator(const KeyedRecord &, std::optional<Duration> age,
                       StateListener &listener) const override
    {
        listener.weightsAnnounced(ModelId("m"), 1, age);
    }
    bool applyBackend(const KeyedRecord &record, StateListener &listener) const override
    {
        BackendEntry entry;
        entry.id = EngineId(record.value);
        return record.key != "beat" && listener.backendRead(std::move(entry));
    }
};

class Listener : public StateListener
{
public:
    void configurationRead(RoutingConfig) override {}
    void weightsAnnounced(const ModelId &, std::uint64_t, std::optional<Duration> age) override
    {
        ++announced;
        writtenAt = age ? BootClock::now() - *age : TimePoint::min();
    }
    bool backendRead(BackendEntry entry) override
    {
        backends.push_back(entry.id.str());
        return true;
    }
    void backendRemoved(const EngineId &) override {}
    void backendsListed(const std::map<EngineId, bool> &) override {}
    void configurationProved(TimePoint at) override
    {
        EXPECT_GT(at, provedAt);
        EXPECT_LE(at, BootClock::now());
        provedAt = at;
    }
    void storeFailed() override { ++failures; }
    void nodesListed(std::vector<Endpoint>) override {}
    void keptCacheReset(const Endpoint &, KeptCacheState) override {}
    void keptCacheChanged(const Endpoint &, std::vector<KeptPart>) override {}

    int announced = 0;
    TimePoint writtenAt =
            TimePoint::min(); ///< earliest time of the last weights that were announced
    int failures = 0;
    std::vector<std::string> backends;
    TimePoint provedAt = TimePoint::min();
};

/// A node that reads the store and a second one that asks it, on one thread.
class StateFollowerTest : public ::testing::Test
{
protected:
    static constexpr FollowLimits Terms{milliseconds(2000), milliseconds(1000)};

    StateFollowerTest()
        : m_store(m_context)
        , m_reader(m_context, m_store, m_translator, m_readerListener, m_calls, identity(1), Terms,
                   1)
        , m_asking(m_context, m_ownStore, m_translator, m_askingListener, m_calls, identity(2),
                   Terms, 2)
    {}

    static NodeIdentity identity(std::uint64_t hash)
    {
        return {"n" + std::to_string(hash), hash, Centre, {}};
    }

    void start()
    {
        m_ownStore.topics = m_store.topics;
        m_reader.start();
        m_asking.start();
        reportNodes();
        m_asking.setAskPeer(
                [this](Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)
                        -> asio::awaitable<std::optional<SharedUpdates>> {
                    m_asked.push_back(peer.port);
                    if (!m_answers) {
                        co_return std::nullopt;
                    }
                    ++m_answered;
                    SharedUpdates updates = m_reader.updatesSince(operatorNext, backendsNext);
                    if (!m_sendsConfiguration) {
                        updates.configuration.reset();
                    }
                    co_return updates;
                });
    }

    /// Reports enough nodes that the asking one doesn't rank first; all answer as the reader does.
    void reportNodes()
    {
        for (std::uint64_t node = 10; node < 50; ++node) {
            m_asking.nodeSeen(node, Centre, {"127.0.0.1", static_cast<std::uint16_t>(node)});
        }
    }

    /// Runs until the condition holds. @return false on time-out
    bool runUntil(const std::function<bool()> &condition)
    {
        constexpr Duration Longest = std::chrono::seconds(30);
        const TimePoint until = MonotonicClock::now() + Longest;
        while (!condition() && MonotonicClock::now() < until) {
            reportNodes();
            m_context.restart();
            m_context.run_one_for(milliseconds(100));
        }
        return condition();
    }

    /// Runs until the asking node has received an answer.
    bool awaitAnswer()
    {
        return runUntil([this] { return m_answered > 0; });
    }

    bool askingHasReceived(const std::string &backend) const
    {
        const auto &known = m_askingListener.backends;
        return std::find(known.begin(), known.end(), backend) != known.end();
    }

    static constexpr std::uint64_t Centre = 9;
    asio::io_context m_context;
    MemoryStore m_store;
    MemoryStore m_ownStore{m_context}; ///< the asking node's access to the same store
    PlainTranslator m_translator;
    Listener m_readerListener;
    Listener m_askingListener;
    Metrics m_metrics;
    StoreCalls m_calls{m_metrics};
    StateFollower m_reader;
    StateFollower m_asking;
    std::vector<int> m_asked;
    bool m_answers = true;
    bool m_sendsConfiguration = true;
    int m_answered = 0;
};

TEST_F(StateFollowerTest, AskingNodeReceivesAllRecordsOfTheReader)
{
    m_store.topics[StateTopic::Backends] = {"e=1", "beat=1"};
    start();
    ASSERT_TRUE(awaitAnswer());
    const TimePoint provedAt = m_askingListener.provedAt;
    // The following records are only in the reader's store.
    m_store.topics[StateTopic::Operator].push_back("version=2");
    for (const char *record : {"beat=2", "e=2", "beat=3", "e=3"}) {
        m_store.topics[StateTopic::Backends].push_back(record);
    }
    EXPECT_TRUE(runUntil(
            [this] { return askingHasReceived("e=3") && m_askingListener.announced > 0; }));
    EXPECT_EQ(m_askingListener.backends, m_readerListener.backends);
    EXPECT_TRUE(runUntil([&] { return m_askingListener.provedAt > provedAt; }));
}

// Guards against records from another node that are dated by their arrival, up to half a second
// late: requests would still start on old weights after their deadline.
TEST_F(StateFollowerTest, DatesRecordsFromPeersByTheLastProof)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    m_answered = 0;
    ASSERT_TRUE(awaitAnswer());
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(runUntil([this] { return m_askingListener.announced > 0; }));
    EXPECT_LE(m_askingListener.writtenAt, before);
    EXPECT_GT(m_askingListener.writtenAt, TimePoint::min());
}

// Guards against a configuration that is too large for a datagram: the asking node waited until its
// freshness proof was old, and refused a route that had been added two seconds before.
TEST_F(StateFollowerTest, ReadsAtOnceWhatTheReaderCannotSend)
{
    m_sendsConfiguration = false;
    start();
    ASSERT_TRUE(awaitAnswer());
    const TimePoint provedAt = m_askingListener.provedAt;
    ASSERT_TRUE(runUntil([&] { return m_askingListener.provedAt > provedAt; }));
    const std::size_t before = m_asked.size();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    EXPECT_TRUE(runUntil([this] { return m_askingListener.announced > 0; }));
    EXPECT_LT(m_asked.size() - before, 4U) << "requests until it was read";
}

// Guards against stale state when the reader is frozen and doesn't answer.
TEST_F(StateFollowerTest, ReadsTheStoreWhenTheReaderIsUnresponsive)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    m_answers = false;
    const TimePoint stoppedAt = BootClock::now();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    m_ownStore.topics[StateTopic::Backends].push_back("e=2");
    EXPECT_TRUE(runUntil(
            [this] { return askingHasReceived("e=2") && m_askingListener.announced > 0; }));
    EXPECT_TRUE(runUntil([&] { return m_askingListener.provedAt > stoppedAt; }));
    EXPECT_TRUE(runUntil([this] {
        return std::set<int>(m_asked.begin(), m_asked.end()).size() > 1;
    })) << "others are asked";
}

// Guards against stale state when the reader has lost the store but still answers, with an ageing
// freshness proof.
TEST_F(StateFollowerTest, ReadsTheStoreWhenTheReadersProofIsOld)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    m_store.isDown = true;
    ASSERT_TRUE(runUntil([this] { return m_readerListener.failures > 0; }));
    const TimePoint cutAt = BootClock::now();
    m_ownStore.topics[StateTopic::Backends].push_back("e=2");
    EXPECT_TRUE(runUntil([this] { return askingHasReceived("e=2"); }));
    EXPECT_TRUE(runUntil([&] { return m_askingListener.provedAt > cutAt; }));
    EXPECT_EQ(m_askingListener.failures, 0);
}

// Guards against nodes that keep asking a reader that has lost the store: each of forty nodes would
// read the store itself until the reader reaches it again.
TEST_F(StateFollowerTest, SwitchesFromAStaleReaderToAnother)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    m_store.isDown = true;
    ASSERT_TRUE(runUntil([this] { return m_readerListener.failures > 0; }));
    const int first = m_asked.back();
    EXPECT_TRUE(runUntil([&] { return m_asked.back() != first; }));
}

// Guards against records dated too late by a node that switches from asking to reading. They may
// have been written at any time since its last freshness proof; an engine on superseded weights
// would get requests for that much longer.
TEST_F(StateFollowerTest, DatesOwnReadsAfterAskingByTheLastProof)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    m_answers = false;
    const TimePoint proved = m_askingListener.provedAt;
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(runUntil([this] { return m_askingListener.announced > 0; }));
    constexpr Duration Applying = milliseconds(50);
    EXPECT_LE(m_askingListener.writtenAt, proved + Applying);
}

// Guards against a record dated too late when the store misses a waiting call, which began while
// the record was written, and returns the record only at the end of the wait: requests would start
// on old weights after their deadline.
TEST_F(StateFollowerTest, DatesLateAnswersByTheLastProof)
{
    m_store.missesWaitingCalls = true;
    m_reader.start();
    // The call directly follows another one, as in a node that has run for a while.
    ASSERT_TRUE(runUntil([this] { return m_store.waitsBegun > 1 && m_store.waiting > 0; }));
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(runUntil([this] { return m_readerListener.announced > 0; }));
    EXPECT_LE(m_readerListener.writtenAt, before);
    EXPECT_GT(m_readerListener.writtenAt, TimePoint::min());
}

// Guards against an estimated age of announced weights after the store has deleted the history: a
// node that followed the records until then has a bound on the age.
TEST_F(StateFollowerTest, DatesRelistedRecordsByTheLastProof)
{
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_store.isExpired = true;
    ASSERT_TRUE(runUntil([this] { return m_readerListener.announced > 0; }));
    EXPECT_LE(m_readerListener.writtenAt, before);
    EXPECT_GT(m_readerListener.writtenAt, TimePoint::min());
}

// Guards against a route that is served for nearly two seconds after its removal because the store
// misses the waiting call, although other nodes have read the record.
TEST_F(StateFollowerTest, ReadsAgainWhenTheStoreMissesAWaitingCall)
{
    m_store.missesWaitingCalls = true;
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_reader.receivedOperatorNext(1);
    ASSERT_TRUE(runUntil([this] { return m_readerListener.announced > 0; }));
    EXPECT_GT(m_store.waiting, 0) << "the missed call still waits";
    EXPECT_EQ(m_reader.operatorNext(), 1U);
}

// Guards against an answer that lacks a record and is accepted as a freshness proof: the node would
// keep accepting a revoked key.
TEST_F(StateFollowerTest, AcceptsNoProofWhileAPeerHasReadFurther)
{
    m_store.omitsRecords = true;
    m_store.failsPlainReads = true;
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    m_store.topics[StateTopic::Operator].push_back("key taken away");
    m_reader.receivedOperatorNext(1);
    const TimePoint receivedAt = BootClock::now();
    const int calls = m_store.calls;
    ASSERT_TRUE(runUntil([&] { return m_store.calls > calls + 4; }));
    EXPECT_LT(m_readerListener.provedAt, receivedAt);
    m_store.omitsRecords = false;
    EXPECT_TRUE(runUntil([&] { return m_readerListener.provedAt > receivedAt; }));
}

// Guards against an offset from another node that the store never had: if it were accepted, no
// freshness proof would count and every request with a key would be refused.
TEST_F(StateFollowerTest, DropsAPeersOffsetBeyondTheStoresEnd)
{
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    m_reader.receivedOperatorNext(1000);
    const TimePoint receivedAt = BootClock::now();
    EXPECT_TRUE(runUntil([&] { return m_readerListener.provedAt > receivedAt; }));
}

// Guards against calls in lockstep: all nodes begin their next call when a record arrives. With
// equal waits the store would miss the calls of all nodes at the same moment.
TEST_F(StateFollowerTest, VariesTheLengthOfWaits)
{
    m_reader.start();
    EXPECT_TRUE(runUntil([this] { return m_store.waits.size() > 2; }));
}

// Guards against nodes that start together and each list, append and list again.
TEST_F(StateFollowerTest, ListsNodesOnlyOnce)
{
    start();
    ASSERT_TRUE(awaitAnswer());
    const TimePoint until = MonotonicClock::now() + milliseconds(2500);
    ASSERT_TRUE(runUntil([until] { return MonotonicClock::now() >= until; }));
    const auto lists = [this](const char *topic, const char *cause) {
        return m_metrics.counter(std::string("store_calls_total{call=\"list\",topic=\"") + topic
                                 + "\",cause=\"" + cause + "\"}");
    };
    EXPECT_EQ(lists("nodes", "follow"), 2U) << "one for each of two nodes";
    EXPECT_LE(lists("fleet_key", "start"), 3U);
}

// Guards against a reader that loses the store during a waiting call and doesn't detect it: the
// asking node would serve a removed route beyond the time limit.
TEST_F(StateFollowerTest, ReadsTheStoreWhenTheReadersCallHangs)
{
    m_store.topics[StateTopic::Backends] = {"e=1"};
    start();
    ASSERT_TRUE(awaitAnswer());
    m_answered = 0;
    ASSERT_TRUE(awaitAnswer());
    m_store.isUnresponsive = true;
    const std::size_t before = m_asked.size();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(runUntil([this] { return m_askingListener.announced > 0; }));
    EXPECT_LT(m_asked.size() - before, 5U) << "requests, one every 300 to 500 ms";
}

} // namespace
} // namespace vanilladyke
