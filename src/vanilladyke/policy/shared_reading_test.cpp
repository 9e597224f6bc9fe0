#include "vanilladyke/policy/reading_turn.hpp"
#include "vanilladyke/policy/record_relay.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace vanilladyke {
namespace {

constexpr std::uint64_t Centre = 9;
constexpr std::size_t PlentyOfBytes = 1U << 20U;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(millis));
}

Endpoint endpointOf(std::uint64_t node)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(node)};
}

std::vector<ReadingTurn> centreOf(std::uint64_t nodes, TimePoint now)
{
    std::vector<ReadingTurn> turns;
    for (std::uint64_t node = 0; node < nodes; ++node) {
        turns.emplace_back(node, Centre);
        for (std::uint64_t other = 0; other < nodes; ++other) {
            turns.back().heard(other, Centre, endpointOf(other), now);
        }
    }
    return turns;
}

TEST(ReadingTurn, OneNodeOfADataCentreReadsAndTheOthersAskIt)
{
    std::map<std::uint64_t, int> asked;
    int readers = 0;
    for (const ReadingTurn &turn : centreOf(24, at(0))) {
        const auto whom = turn.whomToAsk(at(10));
        readers += whom ? 0 : 1;
        if (whom) {
            ++asked[*whom];
            EXPECT_EQ(turn.endpointOf(*whom), endpointOf(*whom));
        }
    }
    EXPECT_EQ(readers, 1);
    EXPECT_EQ(asked.size(), 1U);
}

TEST(ReadingTurn, AFewNodesReadEachForItself)
{
    for (const ReadingTurn &turn : centreOf(3, at(0))) {
        EXPECT_FALSE(turn.whomToAsk(at(10)));
    }
}

/// A fleet of data centres with so many nodes each, in which all have heard of all.
std::vector<ReadingTurn> fleetOf(const std::vector<std::uint64_t> &centres, TimePoint now)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> nodes;
    for (std::uint64_t centre = 0; centre < centres.size(); ++centre) {
        for (std::uint64_t i = 0; i < centres[centre]; ++i) {
            nodes.emplace_back(nodes.size() + 1, Centre + centre);
        }
    }
    std::vector<ReadingTurn> turns;
    for (const auto &[node, centre] : nodes) {
        turns.emplace_back(node, centre);
        for (const auto &[other, at] : nodes) {
            turns.back().heard(other, at, endpointOf(other), now);
        }
    }
    return turns;
}

int readersOf(const std::vector<ReadingTurn> &turns)
{
    return static_cast<int>(std::count_if(turns.begin(), turns.end(), [](const ReadingTurn &turn) {
        return !turn.whomToAsk(at(10));
    }));
}

// Twenty nodes in five data centres. Were each data centre to have a reader of its own, and those
// with three nodes three of them, the store would be read by a third of the fleet.
TEST(ReadingTurn, ASmallFleetHasOneReaderInAllItsDataCentres)
{
    EXPECT_EQ(readersOf(fleetOf({4, 4, 3, 5, 4}, at(0))), 1);
}

// One node that hundreds ask four times in a second has no time left for its own requests.
TEST(ReadingTurn, InALargeFleetEachDataCentreHasAReader)
{
    EXPECT_EQ(readersOf(fleetOf({59, 65, 50}, at(0))), 3);
}

TEST(ReadingTurn, NodesOfADataCentreThatIsTooSmallAskFarAway)
{
    const std::vector<ReadingTurn> turns = fleetOf({2, 40}, at(0));
    EXPECT_TRUE(turns[0].whomToAsk(at(10)) || turns[1].whomToAsk(at(10)));
    EXPECT_LE(readersOf(turns), 2);
}

// The node that reads for 23 others freezes. Each of them notices by itself.
TEST(ReadingTurn, OneThatDoesNotAnswerIsLeftForTheNextAndAskedAgainLater)
{
    std::vector<ReadingTurn> turns = centreOf(24, at(0));
    for (ReadingTurn &turn : turns) {
        const auto first = turn.whomToAsk(at(10));
        if (!first) {
            continue;
        }
        turn.doubt(*first, at(10));
        EXPECT_NE(turn.whomToAsk(at(11)), first);
        EXPECT_EQ(turn.whomToAsk(at(2100)), first);
        turn.doubt(*first, at(2100));
        EXPECT_NE(turn.whomToAsk(at(5000)), first) << "doubt grows";
        turn.answered(*first);
        turn.doubt(*first, at(5000));
        EXPECT_EQ(turn.whomToAsk(at(7100)), first) << "an answer ends it";
    }
}

// Each of 72 nodes waited for the lease of orders, and read its log at every renewal.
TEST(ReadingTurn, AFewNodesStandByForAllAndOthersStepInWhenTheyAreGone)
{
    std::vector<ReadingTurn> turns = centreOf(72, at(0));
    const auto standing = [&turns](TimePoint now) {
        std::set<std::size_t> result;
        for (std::size_t i = 0; i < turns.size(); ++i) {
            if (turns[i].rank(now) < 9) {
                result.insert(i);
            }
        }
        return result;
    };
    const std::set<std::size_t> first = standing(at(10));
    EXPECT_EQ(first.size(), 9U);
    for (std::size_t i = 0; i < turns.size(); ++i) {
        for (std::size_t other = 0; other < turns.size(); ++other) {
            if (!first.contains(other)) { // those that stood by are not heard of any more
                turns[i].heard(other, Centre, endpointOf(other), at(9000));
            }
        }
    }
    const std::set<std::size_t> next = standing(at(9001));
    EXPECT_GE(next.size(), 9U);
    for (const std::size_t node : first) {
        EXPECT_TRUE(next.contains(node)) << "one that can't know that it is not heard goes on";
    }
}

TEST(ReadingTurn, OneThatWasNotHeardOfIsForgotten)
{
    ReadingTurn turn = centreOf(24, at(0)).front();
    EXPECT_FALSE(turn.whomToAsk(at(8100)));
    turn.heard(5, Centre, endpointOf(5), at(9000));
    EXPECT_EQ(turn.size(), 1U);
}

TEST(RecordRelay, HandsOnWhatChangedAndHowOldItsProofIs)
{
    RecordRelay relay;
    EXPECT_FALSE(relay.since(0, PlentyOfBytes, at(0))) << "it has read nothing yet";
    relay.restart(10);
    relay.proved(at(0));
    relay.changed(12, "a");
    relay.changed(15, "b");
    relay.readUpTo(20);
    relay.proved(at(100));
    const auto news = relay.since(13, PlentyOfBytes, at(150));
    ASSERT_TRUE(news);
    EXPECT_EQ(news->next, 20U);
    EXPECT_EQ(news->age, std::chrono::milliseconds(50));
    ASSERT_EQ(news->changes.size(), 1U);
    EXPECT_EQ(news->changes[0].record, "b");
    EXPECT_FALSE(relay.since(9, PlentyOfBytes, at(150))) << "listed, not read one by one";
    EXPECT_FALSE(relay.since(11, 1, at(150))) << "too much for a datagram";
}

// One that asks is ahead: it read for itself meanwhile. That there was nothing more when the proof
// was taken holds for it, too.
TEST(RecordRelay, OneThatIsAheadGetsTheProofAlone)
{
    RecordRelay relay;
    relay.restart(10);
    relay.proved(at(0));
    const auto news = relay.since(14, PlentyOfBytes, at(10));
    ASSERT_TRUE(news);
    EXPECT_EQ(news->next, 14U);
    EXPECT_TRUE(news->changes.empty());
}

// Keys of three customers are taken away within half a second, and each record holds the whole
// configuration. All three are more than one answer carries; the last one says it all.
TEST(RecordRelay, ARecordReplacesTheOlderOneOfItsKey)
{
    RecordRelay relay;
    relay.restart(10);
    relay.proved(at(0));
    relay.changed(11, std::string(90, 'a'), "config");
    relay.changed(12, "v", "version/m");
    relay.changed(13, std::string(90, 'b'), "config");
    relay.readUpTo(14);
    const auto news = relay.since(10, 100, at(1));
    ASSERT_TRUE(news);
    ASSERT_EQ(news->changes.size(), 2U);
    EXPECT_EQ(news->changes[0].offset, 12U);
    EXPECT_EQ(news->changes[1].offset, 13U);
}

// The store forgets its history. The node that reads lists the newest records; one that knows less
// than that gets them all, instead of reading the store as well.
TEST(RecordRelay, AfterAListingOfAllKeysNobodyIsTooFarBehind)
{
    RecordRelay relay;
    relay.restartWithAll(40);
    relay.changed(30, "c", "config");
    relay.changed(7, "v", "version/m");
    relay.proved(at(0));
    const auto news = relay.since(3, PlentyOfBytes, at(1));
    ASSERT_TRUE(news);
    EXPECT_EQ(news->next, 40U);
    ASSERT_EQ(news->changes.size(), 2U);
    EXPECT_EQ(news->changes[0].offset, 7U) << "in order";
    EXPECT_EQ(relay.since(31, PlentyOfBytes, at(1))->changes.size(), 0U);
}

TEST(RecordRelay, ChangesThatAreForgottenAreNotSkipped)
{
    RecordRelay relay;
    relay.restart(0);
    relay.proved(at(0));
    for (std::uint64_t offset = 0; offset < RecordRelay::MostChanges + 5; ++offset) {
        relay.changed(offset, "x");
    }
    relay.readUpTo(RecordRelay::MostChanges + 5);
    EXPECT_FALSE(relay.since(4, PlentyOfBytes, at(1)));
    EXPECT_EQ(relay.since(5, PlentyOfBytes, at(1))->changes.size(), RecordRelay::MostChanges);
}

// Fifty nodes follow a log in which every third record changes something, by the store and by each
// other at random, with a relay that starts anew now and then. All must know the same at the same
// offset: a change that one skips is a server that gets requests after it has left.
TEST(RecordRelay, WhoeverIsAskedNobodySkipsAChange)
{
    struct Follower
    {
        RecordRelay relay;
        std::uint64_t next = 0;
        std::set<std::uint64_t> known;
    };
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        std::vector<Follower> followers(50);
        for (Follower &each : followers) {
            each.relay.restart(0);
            each.relay.proved(at(0));
        }
        std::uint64_t end = 0;
        const auto isChange = [](std::uint64_t offset) { return offset % 3 == 0; };
        const auto learn = [](Follower &who, std::uint64_t offset) {
            who.known.insert(offset);
            who.relay.changed(offset, "r");
        };
        for (int step = 0; step < 4000; ++step) {
            end += uniformBelow(random, 3);
            Follower &who = followers[uniformBelow(random, followers.size())];
            const std::uint64_t way = uniformBelow(random, 20);
            if (way == 0) { // reads the store
                for (; who.next < end; ++who.next) {
                    if (isChange(who.next)) {
                        learn(who, who.next);
                    }
                }
                who.relay.readUpTo(who.next);
            } else if (way == 1) { // lists it anew
                for (std::uint64_t offset = 0; offset < end; ++offset) {
                    if (isChange(offset)) {
                        who.known.insert(offset);
                    }
                }
                who.next = end;
                who.relay.restart(end);
            } else {
                const Follower &asked = followers[uniformBelow(random, followers.size())];
                const auto news = asked.relay.since(who.next, PlentyOfBytes, at(step));
                if (news && &asked != &who) {
                    for (const RecordRelay::Change &change : news->changes) {
                        learn(who, change.offset);
                    }
                    who.next = news->next;
                    who.relay.readUpTo(who.next);
                }
            }
            for (std::uint64_t offset = 0; offset < who.next; offset += 3) {
                ASSERT_TRUE(who.known.contains(offset)) << "seed " << seed << " step " << step;
            }
        }
    }
}

} // namespace
} // namespace vanilladyke
