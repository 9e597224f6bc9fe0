#include "vanilladyke/node/state_follower_fixture.hpp"

namespace vanilladyke {
namespace {

using follower_fixture::StateFollowerTest;

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
    m_reader.receivedOperatorNext(0, {}, 1);
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
    m_reader.receivedOperatorNext(0, {}, 1);
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
    m_reader.receivedOperatorNext(0, {}, 1000);
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

// The store comes back from an older copy, and the operator's next record lies below the offset
// that the node has read to. Guards against a node that never reads it, such as the removal of a
// key, and whose waiting calls yet prove that it knows all records.
TEST_F(StateFollowerTest, ListsTheRecordsAnewInANewEraOfTheStore)
{
    m_store.known = &m_readerEra;
    m_store.era = 1;
    m_store.topics[StateTopic::Operator] = {"a=1", "b=1", "c=1", "d=1"};
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    EXPECT_EQ(m_reader.operatorNext(), 4U);
    m_store.era = 2;
    m_store.topics[StateTopic::Operator] = {"a=1", "b=2"};
    const int announced = m_readerListener.announced;
    ASSERT_TRUE(runUntil([&] { return m_readerListener.announced > announced; }));
    EXPECT_EQ(m_reader.operatorNext(), 2U);
    EXPECT_EQ(m_reader.operatorEra(), 2U);
    // Offsets of the older era, still told by others, hold nothing up.
    m_reader.receivedOperatorNext(1, {}, 4);
    const TimePoint receivedAt = BootClock::now();
    EXPECT_TRUE(runUntil([&] { return m_readerListener.provedAt > receivedAt; }));
}

// Guards against a node that keeps to an older era, because its own answers are still on their way,
// although another node has told it of the newer one.
TEST_F(StateFollowerTest, LearnsOfANewEraFromAnotherNode)
{
    m_store.known = &m_readerEra;
    m_store.era = 1;
    m_reader.start();
    ASSERT_TRUE(runUntil([this] { return m_store.waiting > 0; }));
    m_reader.receivedOperatorNext(2, std::chrono::seconds(1), 1);
    EXPECT_EQ(m_readerEra.view().era, 2U);
    m_store.era = 2;
    EXPECT_TRUE(runUntil([this] { return m_reader.operatorEra() == 2; }));
}

// A node that asks another one must not mix offsets of two eras.
TEST_F(StateFollowerTest, DoesNotApplyUpdatesOfAnotherEra)
{
    m_store.era = 2;
    m_ownStore.era = 1;
    start();
    m_store.topics[StateTopic::Backends].push_back("new");
    ASSERT_TRUE(awaitAnswer());
    m_ownStore.era = 2;
    m_ownStore.topics = m_store.topics;
    EXPECT_TRUE(runUntil([this] { return m_asking.operatorEra() == 2; }));
    EXPECT_TRUE(runUntil([this] { return askingHasReceived("new"); }));
}

} // namespace
} // namespace vanilladyke
