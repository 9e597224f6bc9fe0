#include "vanilladyke/node/state_follower.hpp"

#include "vanilladyke/node/boot_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

/// A store in memory. Its records are "key=value"; "beat=…" is a server's sign of life.
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
            return leavesOut || (!isThere && (topics[topic].size() == from || passesOver));
        };
        while (waitsOn() && MonotonicClock::now() < until) {
            asio::steady_timer timer(m_context, milliseconds(20));
            ErrorCode ignored;
            co_await timer.async_wait(redirectError(ignored));
        }
        --waiting;
        if (leavesOut && wait > Duration::zero()) {
            co_return RecordPage{from, {}};
        }
        while (isSilent) {
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
        const bool isTaken = !at || *at == topics[topic].size();
        if (isTaken) {
            topics[topic].push_back(record.value);
        }
        co_return AppendResult{isTaken, topics[topic].size()};
    }

    std::map<StateTopic, std::vector<std::string>> topics;
    int calls = 0;
    bool isDown = false;
    bool isSilent = false;        ///< no read is answered any more
    bool passesOver = false;      ///< a call that waits is not told of a record before its end
    bool leavesOut = false;       ///< nor then
    bool isExpired = false;       ///< the next read of the operator's records comes too late
    bool failsPlainReads = false; ///< calls for the operator's records that don't wait
    int waiting = 0;              ///< calls that wait now
    int waitsBegun = 0;           ///< calls that were to wait
    std::set<Duration> waits;     ///< how long calls were to wait

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
        listener.weightsNamed(ModelId("m"), 1, age);
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
    void weightsNamed(const ModelId &, std::uint64_t, std::optional<Duration> age) override
    {
        ++named;
        writtenAt = age ? BootClock::now() - *age : TimePoint::min();
    }
    bool backendRead(BackendEntry entry) override
    {
        backends.push_back(entry.id.str());
        return true;
    }
    void backendGone(const EngineId &) override {}
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

    int named = 0;
    TimePoint writtenAt =
            TimePoint::min(); ///< of the last weights that were named, at the earliest
    int failures = 0;
    std::vector<std::string> backends;
    TimePoint provedAt = TimePoint::min();
};

/// A node that reads, and one beside it that asks it, on one thread.
class StateFollowerTest : public ::testing::Test
{
protected:
    static constexpr FollowTerms Terms{milliseconds(2000), milliseconds(1000)};

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
        hear();
        m_asking.setAskPeer(
                [this](Endpoint peer, std::uint64_t operatorNext,
                       std::uint64_t backendsNext) -> asio::awaitable<std::optional<SharedNews>> {
                    m_asked.push_back(peer.port);
                    if (!m_answers) {
                        co_return std::nullopt;
                    }
                    ++m_answered;
                    SharedNews news = m_reader.newsSince(operatorNext, backendsNext);
                    if (!m_tellsConfiguration) {
                        news.configuration.reset();
                    }
                    co_return news;
                });
    }

    /// So many nodes are heard of that this one is not the first; all answer as the reader does.
    void hear()
    {
        for (std::uint64_t node = 10; node < 50; ++node) {
            m_asking.heardNode(node, Centre, {"127.0.0.1", static_cast<std::uint16_t>(node)});
        }
    }

    /// Runs until the condition holds. @return whether it came to hold
    bool reach(const std::function<bool()> &condition)
    {
        constexpr Duration Longest = std::chrono::seconds(30);
        const TimePoint until = MonotonicClock::now() + Longest;
        while (!condition() && MonotonicClock::now() < until) {
            hear();
            m_context.restart();
            m_context.run_one_for(milliseconds(100));
        }
        return condition();
    }

    /// Runs until the node that asks learned something from another node.
    bool reachSharing()
    {
        return reach([this] { return m_answered > 0; });
    }

    bool askingKnows(const std::string &backend) const
    {
        const auto &known = m_askingListener.backends;
        return std::find(known.begin(), known.end(), backend) != known.end();
    }

    static constexpr std::uint64_t Centre = 9;
    asio::io_context m_context;
    MemoryStore m_store;
    MemoryStore m_ownStore{m_context}; ///< the same store, reached by the node that asks
    PlainTranslator m_translator;
    Listener m_readerListener;
    Listener m_askingListener;
    Metrics m_metrics;
    StoreCalls m_calls{m_metrics};
    StateFollower m_reader;
    StateFollower m_asking;
    std::vector<int> m_asked;
    bool m_answers = true;
    bool m_tellsConfiguration = true;
    int m_answered = 0;
};

TEST_F(StateFollowerTest, ANodeThatAsksLearnsAllThatTheReaderKnows)
{
    m_store.topics[StateTopic::Backends] = {"e=1", "beat=1"};
    start();
    ASSERT_TRUE(reachSharing());
    const TimePoint provedAt = m_askingListener.provedAt;
    // Only the reader's store has what comes now.
    m_store.topics[StateTopic::Operator].push_back("version=2");
    for (const char *record : {"beat=2", "e=2", "beat=3", "e=3"}) {
        m_store.topics[StateTopic::Backends].push_back(record);
    }
    EXPECT_TRUE(reach([this] { return askingKnows("e=3") && m_askingListener.named > 0; }));
    EXPECT_EQ(m_askingListener.backends, m_readerListener.backends);
    EXPECT_TRUE(reach([&] { return m_askingListener.provedAt > provedAt; }));
}

// News of weights comes by way of another node and half a second late. Were it dated by its
// arrival, requests would begin on old weights after their time is over.
TEST_F(StateFollowerTest, WhatAnotherNodeTellsIsDatedByTheLastProof)
{
    start();
    ASSERT_TRUE(reachSharing());
    m_answered = 0;
    ASSERT_TRUE(reachSharing());
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(reach([this] { return m_askingListener.named > 0; }));
    EXPECT_LE(m_askingListener.writtenAt, before);
    EXPECT_GT(m_askingListener.writtenAt, TimePoint::min());
}

// A configuration is larger than a datagram. The node that was told so waited until its proof was
// old, and refused a route that had been added two seconds before.
TEST_F(StateFollowerTest, WhatTheReaderCantTellIsReadAtOnce)
{
    m_tellsConfiguration = false;
    start();
    ASSERT_TRUE(reachSharing());
    const TimePoint provedAt = m_askingListener.provedAt;
    ASSERT_TRUE(reach([&] { return m_askingListener.provedAt > provedAt; }));
    const std::size_t before = m_asked.size();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    EXPECT_TRUE(reach([this] { return m_askingListener.named > 0; }));
    EXPECT_LT(m_asked.size() - before, 4U) << "questions until it was read";
}

// The node that reads for others is frozen.
TEST_F(StateFollowerTest, ANodeWhoseReaderIsSilentReadsItself)
{
    start();
    ASSERT_TRUE(reachSharing());
    m_answers = false;
    const TimePoint silentAt = BootClock::now();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    m_ownStore.topics[StateTopic::Backends].push_back("e=2");
    EXPECT_TRUE(reach([this] { return askingKnows("e=2") && m_askingListener.named > 0; }));
    EXPECT_TRUE(reach([&] { return m_askingListener.provedAt > silentAt; }));
    EXPECT_TRUE(reach([this] { return std::set<int>(m_asked.begin(), m_asked.end()).size() > 1; }))
            << "others are asked";
}

// The node that reads for others is cut off from the store and still answers: its proof grows old.
TEST_F(StateFollowerTest, AnOldProofIsNoReasonNotToRead)
{
    start();
    ASSERT_TRUE(reachSharing());
    m_store.isDown = true;
    ASSERT_TRUE(reach([this] { return m_readerListener.failures > 0; }));
    const TimePoint cutAt = BootClock::now();
    m_ownStore.topics[StateTopic::Backends].push_back("e=2");
    EXPECT_TRUE(reach([this] { return askingKnows("e=2"); }));
    EXPECT_TRUE(reach([&] { return m_askingListener.provedAt > cutAt; }));
    EXPECT_EQ(m_askingListener.failures, 0);
}

// The node that reads for forty others is cut off from the store and goes on answering. Were they
// to go on asking it, each would read the store itself for as long as the cut lasts.
TEST_F(StateFollowerTest, AReaderThatIsBehindIsLeftForAnother)
{
    start();
    ASSERT_TRUE(reachSharing());
    m_store.isDown = true;
    ASSERT_TRUE(reach([this] { return m_readerListener.failures > 0; }));
    const int first = m_asked.back();
    EXPECT_TRUE(reach([&] { return m_asked.back() != first; }));
}

// A node that asked others begins to read for itself. What it finds may have been written at any
// time since the last proof that it got; taken for young, an engine on replaced weights would get
// requests for that much longer.
TEST_F(StateFollowerTest, WhatIsFoundAfterAPauseIsDatedByTheLastProof)
{
    start();
    ASSERT_TRUE(reachSharing());
    m_answers = false;
    const TimePoint proved = m_askingListener.provedAt;
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(reach([this] { return m_askingListener.named > 0; }));
    constexpr Duration Applying = milliseconds(50);
    EXPECT_LE(m_askingListener.writtenAt, proved + Applying);
}

// The store took no notice of a call that began while the record was written, and answered at its
// end. Taken for young, the record lets requests begin on old weights after their time is over.
TEST_F(StateFollowerTest, WhatAnAnswerBringsLateIsDatedByTheLastProof)
{
    m_store.passesOver = true;
    m_reader.start();
    // The call follows another one at once, as in a node that has run for a while.
    ASSERT_TRUE(reach([this] { return m_store.waitsBegun > 1 && m_store.waiting > 0; }));
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(reach([this] { return m_readerListener.named > 0; }));
    EXPECT_LE(m_readerListener.writtenAt, before);
    EXPECT_GT(m_readerListener.writtenAt, TimePoint::min());
}

// The history was dropped while weights were named. The node has followed the records until then;
// taken for one that knows nothing of their age, it would only guess.
TEST_F(StateFollowerTest, WhatAListingBringsToANodeThatFollowedIsDatedByTheLastProof)
{
    m_reader.start();
    ASSERT_TRUE(reach([this] { return m_store.waiting > 0; }));
    const TimePoint before = BootClock::now();
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_store.isExpired = true;
    ASSERT_TRUE(reach([this] { return m_readerListener.named > 0; }));
    EXPECT_LE(m_readerListener.writtenAt, before);
    EXPECT_GT(m_readerListener.writtenAt, TimePoint::min());
}

// A call for the operator's records was passed over. A node that waits for its end serves a route
// that was taken away for nearly two seconds more, though others know better.
TEST_F(StateFollowerTest, ANodeWhoseCallWasPassedOverReadsWhatOthersKnow)
{
    m_store.passesOver = true;
    m_reader.start();
    ASSERT_TRUE(reach([this] { return m_store.waiting > 0; }));
    m_store.topics[StateTopic::Operator].push_back("version=2");
    m_reader.heardOperatorNext(1);
    ASSERT_TRUE(reach([this] { return m_readerListener.named > 0; }));
    EXPECT_GT(m_store.waiting, 0) << "the call that was passed over still waits";
    EXPECT_EQ(m_reader.operatorNext(), 1U);
}

// The store leaves a record out of its answer. A node that takes the answer for a proof goes on
// letting requests pass with a key that was taken away.
TEST_F(StateFollowerTest, NothingIsProvedWhileAnotherNodeKnowsMore)
{
    m_store.leavesOut = true;
    m_store.failsPlainReads = true;
    m_reader.start();
    ASSERT_TRUE(reach([this] { return m_store.waiting > 0; }));
    m_store.topics[StateTopic::Operator].push_back("key taken away");
    m_reader.heardOperatorNext(1);
    const TimePoint heardAt = BootClock::now();
    const int calls = m_store.calls;
    ASSERT_TRUE(reach([&] { return m_store.calls > calls + 4; }));
    EXPECT_LT(m_readerListener.provedAt, heardAt);
    m_store.leavesOut = false;
    EXPECT_TRUE(reach([&] { return m_readerListener.provedAt > heardAt; }));
}

// Another node tells an offset that the store never had. Were it believed, no proof would count any
// more and every request with a key would be refused.
TEST_F(StateFollowerTest, AnOffsetThatTheStoreRefutesIsForgotten)
{
    m_reader.start();
    ASSERT_TRUE(reach([this] { return m_store.waiting > 0; }));
    m_reader.heardOperatorNext(1000);
    const TimePoint heardAt = BootClock::now();
    EXPECT_TRUE(reach([&] { return m_readerListener.provedAt > heardAt; }));
}

// All nodes begin their next call when a record comes. With waits of one length they go on in step,
// and a moment in which the store takes no notice of a call is the same for all.
TEST_F(StateFollowerTest, WaitsDifferInLength)
{
    m_reader.start();
    EXPECT_TRUE(reach([this] { return m_store.waits.size() > 2; }));
}

// Nodes that start together would otherwise each list, write and list again.
TEST_F(StateFollowerTest, ANodeThatKnowsOthersListsThemOnce)
{
    start();
    ASSERT_TRUE(reachSharing());
    const TimePoint until = MonotonicClock::now() + milliseconds(2500);
    ASSERT_TRUE(reach([until] { return MonotonicClock::now() >= until; }));
    const auto lists = [this](const char *topic, const char *cause) {
        return m_metrics.counter(std::string("store_calls_total{call=\"list\",topic=\"") + topic
                                 + "\",cause=\"" + cause + "\"}");
    };
    EXPECT_EQ(lists("nodes", "follow"), 2U) << "one for each of two nodes";
    EXPECT_LE(lists("fleet_key", "start"), 3U);
}

// The node that reads for others is cut off from the store, and hears nothing while its call waits
// there. Another node would serve a route that was taken away for longer than is allowed.
TEST_F(StateFollowerTest, AReaderThatHearsNothingMoreKeepsNobodyFromAChange)
{
    m_store.topics[StateTopic::Backends] = {"e=1"};
    start();
    ASSERT_TRUE(reachSharing());
    m_answered = 0;
    ASSERT_TRUE(reachSharing());
    m_store.isSilent = true;
    const std::size_t before = m_asked.size();
    m_ownStore.topics[StateTopic::Operator].push_back("version=2");
    ASSERT_TRUE(reach([this] { return m_askingListener.named > 0; }));
    EXPECT_LT(m_asked.size() - before, 5U) << "questions, one each 300 to 500 ms";
}

} // namespace
} // namespace vanilladyke
