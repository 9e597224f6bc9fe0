#include "vanilladyke/policy/quarantine_replay.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace vanilladyke {

namespace {

using std::chrono::minutes;

WorkDigest work(std::uint64_t number)
{
    return {number, number * 31};
}

/// Sends all pending updates of one node to another, as the datagrams between nodes do.
void sendUpdates(RequestQuarantine &from, RequestQuarantine &to, TimePoint now)
{
    Random random(1);
    const auto updates = from.collectUpdates(1, 1000, now, random);
    static_cast<void>(to.applyUpdates(updates, now));
}

// Without the exchange of terminations between nodes, each node would send on its own copy of a
// request that terminates engines.
TEST(RequestQuarantine, TwoEngineTerminationsQuarantineARequestAtEveryNode)
{
    RequestQuarantine first(1);
    RequestQuarantine second(2);
    EXPECT_FALSE(first.recordTermination(work(7), 5, {100, Start, true}));
    EXPECT_FALSE(second.recordTermination(work(7), 5, {101, Start + milliseconds(80), true}));
    EXPECT_FALSE(first.heldUntil(work(7), Start + milliseconds(90)));
    sendUpdates(first, second, Start + milliseconds(100));
    sendUpdates(second, first, Start + milliseconds(100));
    EXPECT_TRUE(first.heldUntil(work(7), Start + milliseconds(120)));
    EXPECT_TRUE(second.heldUntil(work(7), Start + milliseconds(120)));
    EXPECT_FALSE(first.heldUntil(work(8), Start + milliseconds(120)));
}

// After a single crash, requests that merely ran on the same engine would be refused.
TEST(RequestQuarantine, OneEngineTerminationQuarantinesNothing)
{
    RequestQuarantine quarantine;
    EXPECT_FALSE(quarantine.recordTermination(work(7), 5, {100, Start, true}));
    EXPECT_FALSE(quarantine.recordTermination(work(7), 5, {100, Start + milliseconds(1), true}));
    EXPECT_FALSE(quarantine.heldUntil(work(7), Start + seconds(1)));
}

// A request that terminates engines long after its start would never be quarantined, or a stream
// that lost two engines by chance would be.
TEST(RequestQuarantine, LongRunsNeedAThirdTermination)
{
    RequestQuarantine quarantine;
    EXPECT_FALSE(quarantine.recordTermination(work(7), 5, {100, Start, false}));
    EXPECT_FALSE(quarantine.recordTermination(work(7), 5, {101, Start + seconds(1), false}));
    EXPECT_TRUE(quarantine.recordTermination(work(7), 5, {102, Start + seconds(2), true}));
}

// A request sent by many callers would be refused to all of them after two unrelated crashes.
TEST(RequestQuarantine, ACompleteAnswerDiscardsEarlierEvidence)
{
    RequestQuarantine first(1);
    RequestQuarantine second(2);
    static_cast<void>(first.recordTermination(work(7), 5, {100, Start, true}));
    static_cast<void>(first.recordTermination(work(7), 5, {101, Start + seconds(1), true}));
    sendUpdates(first, second, Start + seconds(1));
    ASSERT_TRUE(second.heldUntil(work(7), Start + seconds(1)));
    EXPECT_TRUE(first.recordAnswer(work(7), Start + seconds(2)));
    EXPECT_FALSE(first.recordAnswer(work(7), Start + seconds(2)));
    sendUpdates(first, second, Start + seconds(2));
    EXPECT_FALSE(second.heldUntil(work(7), Start + seconds(2)));
    // A node that has not received the answer resends the old terminations.
    RequestQuarantine third(3);
    static_cast<void>(third.recordTermination(work(7), 5, {100, Start, true}));
    sendUpdates(third, second, Start + seconds(3));
    EXPECT_FALSE(second.recordTermination(work(7), 5, {102, Start + seconds(4), true}));
}

// An engine that only ran out of connections looked as if it had terminated.
TEST(RequestQuarantine, AnEngineThatAnswersLaterHadNotTerminated)
{
    RequestQuarantine quarantine;
    static_cast<void>(quarantine.recordTermination(work(7), 5, {100, Start, true}));
    static_cast<void>(quarantine.recordTermination(work(7), 5, {101, Start, true}));
    quarantine.recordEngineAnswer(100, Start + milliseconds(500)); // written before it terminated
    ASSERT_TRUE(quarantine.heldUntil(work(7), Start + seconds(1)));
    quarantine.recordEngineAnswer(100, Start + seconds(2));
    EXPECT_FALSE(quarantine.heldUntil(work(7), Start + seconds(2)));
}

// All nodes would send a quarantined request at the same moment once its hold time is over, and
// each would lose an engine.
TEST(RequestQuarantine, NodesReleaseARequestAtDifferentTimes)
{
    std::set<TimePoint> releases;
    for (std::uint64_t node = 0; node < 9; ++node) {
        RequestQuarantine quarantine(node * 7919);
        static_cast<void>(quarantine.recordTermination(work(7), 5, {100, Start, true}));
        static_cast<void>(quarantine.recordTermination(work(7), 5, {101, Start, true}));
        const auto until = quarantine.heldUntil(work(7), Start);
        ASSERT_TRUE(until);
        EXPECT_GE(*until, Start + RequestQuarantine::HoldTime);
        EXPECT_LE(*until, Start + RequestQuarantine::HoldTime + RequestQuarantine::ReleaseSpread);
        releases.insert(*until);
        // After its release, one more termination is enough to quarantine it again.
        EXPECT_FALSE(quarantine.heldUntil(work(7), *until));
        EXPECT_TRUE(quarantine.recordTermination(work(7), 5, {102, *until, true}));
    }
    EXPECT_GT(releases.size(), 7U);
}

TEST(RequestQuarantine, AnOperatorExemptsARequest)
{
    RequestQuarantine quarantine;
    static_cast<void>(quarantine.recordTermination(work(7), 5, {100, Start, true}));
    static_cast<void>(quarantine.recordTermination(work(7), 5, {101, Start, true}));
    quarantine.setExempted({work(7)});
    EXPECT_FALSE(quarantine.heldUntil(work(7), Start));
    EXPECT_FALSE(quarantine.recordTermination(work(7), 5, {102, Start + seconds(1), true}));
}

// A customer that keeps sending new requests that terminate engines would evict the entries of all
// other customers.
TEST(RequestQuarantine, ACustomerWithManyRequestsEvictsItsOwn)
{
    RequestQuarantine quarantine;
    static_cast<void>(quarantine.recordTermination(work(1), 5, {100, Start, true}));
    static_cast<void>(quarantine.recordTermination(work(1), 5, {101, Start, true}));
    for (std::uint64_t i = 0; i < 5000; ++i) {
        static_cast<void>(quarantine.recordTermination(work(10 + i), 6,
                                                       {200 + i, Start + milliseconds(i), true}));
    }
    EXPECT_TRUE(quarantine.heldUntil(work(1), Start + seconds(6)));
    EXPECT_EQ(quarantine.size(), RequestQuarantine::MaxRequestsPerCustomer + 1);
    for (std::uint64_t customer = 10; customer < 100; ++customer) {
        for (std::uint64_t i = 0; i < 100; ++i) {
            static_cast<void>(quarantine.recordTermination(work(100000 * customer + i), customer,
                                                           {i, Start + seconds(7), true}));
        }
    }
    EXPECT_LE(quarantine.size(), RequestQuarantine::MaxRequests);
    EXPECT_TRUE(quarantine.heldUntil(work(1), Start + seconds(8)));
    EXPECT_EQ(quarantine.held(Start + seconds(8)), 1U);
    Random random(1);
    EXPECT_TRUE(quarantine.collectUpdates(1, 10, Start + minutes(70), random).empty());
    EXPECT_EQ(quarantine.size(), 0U);
}

// A node that was partitioned while engines terminated, or has just started, would send the next
// copy on.
TEST(RequestQuarantine, ANodeThatJoinsLateReceivesTheQuarantine)
{
    constexpr std::size_t Nodes = 295;
    std::vector<RequestQuarantine> others;
    for (std::size_t i = 0; i + 1 < Nodes; ++i) {
        others.emplace_back(i);
        static_cast<void>(others.back().recordTermination(work(7), 5, {100, Start, true}));
        static_cast<void>(others.back().recordTermination(work(7), 5, {101, Start, true}));
    }
    Random random(3);
    RequestQuarantine late(1000);
    constexpr Duration UpdateInterval =
            milliseconds(2640); // between two updates from one of 295 nodes
    std::size_t sent = 0;
    TimePoint now = Start + minutes(1);
    // Own observations are sent Repeats times first; here every node has made them.
    for (int i = 0; i <= RequestQuarantine::Repeats; ++i) {
        for (RequestQuarantine &each : others) {
            static_cast<void>(each.collectUpdates(Nodes, 40, now, random));
        }
        now += UpdateInterval;
    }
    for (RequestQuarantine &each : others) {
        const auto updates = each.collectUpdates(Nodes, 40, now, random);
        sent += updates.size();
        static_cast<void>(late.applyUpdates(updates, now));
    }
    EXPECT_TRUE(late.heldUntil(work(7), now));
    EXPECT_LE(sent, 60U); // about RefreshPerSecond, regardless of the number of nodes
}

// Copies of one request terminate nine engines within a second, and again as soon as they are back.
TEST(RequestQuarantine, ReplayOfARequestThatTerminatesEnginesIsStoppedSoon)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Replay::Result result = Replay(seed, ReplayFault::Request, 0).run();
        RecordProperty("seed_" + std::to_string(seed),
                       std::to_string(result.ended) + " ended, " + std::to_string(result.refused)
                               + " of " + std::to_string(result.asked) + " refused");
        EXPECT_LE(result.late, 3) << "seed " << seed;
        EXPECT_LE(result.ended, 9) << "seed " << seed;
    }
}

// Engines crash at random, one or three of them every three seconds: callers lose engines, some of
// them two.
TEST(RequestQuarantine, ReplayOfRandomCrashesRefusesFewHarmlessRequests)
{
    int asked = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Replay::Result calm = Replay(seed, ReplayFault::None, 1).run();
        const Replay::Result rough = Replay(seed, ReplayFault::None, 3).run();
        asked += calm.asked + rough.asked;
        refused += calm.refused + rough.refused;
    }
    RecordProperty("refused", refused);
    RecordProperty("asked", asked);
    EXPECT_LE(refused * 1000, asked); // one in a thousand
}

} // namespace

} // namespace vanilladyke
