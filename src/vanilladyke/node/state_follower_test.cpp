#include "vanilladyke/node/state_follower_fixture.hpp"

namespace vanilladyke {
namespace {

using follower_fixture::StateFollowerTest;
using std::chrono::milliseconds;

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

// A request that has just come waits for the list. The reader's next answer, or an own read in its
// turn, would come too late for it.
TEST_F(StateFollowerTest, ReadsTheServersAtOnceForARequestThatWaits)
{
    m_store.topics[StateTopic::Backends] = {"e=1"};
    start();
    ASSERT_TRUE(awaitAnswer());
    FreshBackends fresh(m_context);
    fresh.onWanted = [this](TimePoint since) { m_asking.readBackends(since); };
    m_askingListener.onBackendsProved = [&](TimePoint at) { fresh.proved(at); };
    m_askingListener.onBackendsFailed = [&](TimePoint at) { fresh.failed(at); };
    const auto wait = [&] {
        std::optional<bool> isFresh;
        asio::co_spawn(
                m_context,
                [&]() -> asio::awaitable<void> {
                    const bool result = co_await fresh.wait();
                    isFresh = result;
                },
                asio::detached);
        EXPECT_TRUE(runUntil([&] { return isFresh.has_value(); }));
        return isFresh.value_or(false);
    };
    m_ownStore.topics[StateTopic::Backends].push_back("f=1");
    EXPECT_TRUE(wait());
    EXPECT_TRUE(askingHasReceived("f=1"));
    m_ownStore.isDown = true;
    EXPECT_FALSE(wait());
}

// A call that began before the request came may have been answered before a server joined.
TEST(FreshBackends, AListOfAnEarlierCallDoesNotCount)
{
    asio::io_context context;
    FreshBackends fresh(context);
    std::optional<bool> isFresh;
    const auto answered = [&](const std::exception_ptr &, bool result) { isFresh = result; };
    asio::co_spawn(context, fresh.wait(), answered);
    const TimePoint before = BootClock::now();
    context.run_one();
    fresh.proved(before);
    fresh.failed(before);
    context.poll();
    EXPECT_FALSE(isFresh);
    fresh.proved(BootClock::now());
    context.run();
    EXPECT_EQ(isFresh, true);
}

} // namespace
} // namespace vanilladyke
