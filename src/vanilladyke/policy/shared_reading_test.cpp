#include "vanilladyke/policy/record_relay.hpp"
#include "vanilladyke/policy/store_reader_selection.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace vanilladyke {
namespace {

constexpr std::uint64_t Centre = 9;
constexpr std::size_t NoSizeLimit = 1U << 20U;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(millis));
}

Endpoint endpointOf(std::uint64_t node)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(node)};
}

std::vector<StoreReaderSelection> centreOf(std::uint64_t nodes, TimePoint now)
{
    std::vector<StoreReaderSelection> selections;
    for (std::uint64_t node = 0; node < nodes; ++node) {
        selections.emplace_back(node, Centre);
        for (std::uint64_t other = 0; other < nodes; ++other) {
            selections.back().nodeSeen(other, Centre, endpointOf(other), now);
        }
    }
    return selections;
}

TEST(StoreReaderSelection, OneNodeOfADataCentreReadsAndTheOthersAskIt)
{
    std::map<std::uint64_t, int> asked;
    int readers = 0;
    for (const StoreReaderSelection &selection : centreOf(24, at(0))) {
        const auto reader = selection.readerToAsk(at(10));
        readers += reader ? 0 : 1;
        if (reader) {
            ++asked[*reader];
            EXPECT_EQ(selection.endpointOf(*reader), endpointOf(*reader));
        }
    }
    EXPECT_EQ(readers, 1);
    EXPECT_EQ(asked.size(), 1U);
}

TEST(StoreReaderSelection, InASmallFleetEachNodeReadsTheStore)
{
    for (const StoreReaderSelection &selection : centreOf(3, at(0))) {
        EXPECT_FALSE(selection.readerToAsk(at(10)));
    }
}

/// A fleet with the given number of nodes per data centre, in which every node has seen all others.
std::vector<StoreReaderSelection> fleetOf(const std::vector<std::uint64_t> &centres, TimePoint now)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> nodes;
    for (std::uint64_t centre = 0; centre < centres.size(); ++centre) {
        for (std::uint64_t i = 0; i < centres[centre]; ++i) {
            nodes.emplace_back(nodes.size() + 1, Centre + centre);
        }
    }
    std::vector<StoreReaderSelection> selections;
    for (const auto &[node, centre] : nodes) {
        selections.emplace_back(node, centre);
        for (const auto &[other, at] : nodes) {
            selections.back().nodeSeen(other, at, endpointOf(other), now);
        }
    }
    return selections;
}

int readersOf(const std::vector<StoreReaderSelection> &selections)
{
    return static_cast<int>(std::count_if(
            selections.begin(), selections.end(),
            [](const StoreReaderSelection &selection) { return !selection.readerToAsk(at(10)); }));
}

// Twenty nodes in five data centres. Guards against a reader per data centre, and three readers in
// those with three nodes: a third of the fleet would read the store.
TEST(StoreReaderSelection, ASmallFleetHasOneReaderInAllItsDataCentres)
{
    EXPECT_EQ(readersOf(fleetOf({4, 4, 3, 5, 4}, at(0))), 1);
}

// Guards against a single reader that hundreds of nodes query four times a second: it would have no
// processor time left for its own requests.
TEST(StoreReaderSelection, InALargeFleetEachDataCentreHasAReader)
{
    EXPECT_EQ(readersOf(fleetOf({59, 65, 50}, at(0))), 3);
}

TEST(StoreReaderSelection, NodesOfASmallDataCentreAskAReaderElsewhere)
{
    const std::vector<StoreReaderSelection> selections = fleetOf({2, 40}, at(0));
    EXPECT_TRUE(selections[0].readerToAsk(at(10)) || selections[1].readerToAsk(at(10)));
    EXPECT_LE(readersOf(selections), 2);
}

// The reader of 23 other nodes hangs. Each of them has to detect this on its own.
TEST(StoreReaderSelection, AnUnresponsiveReaderIsReplacedAndAskedAgainLater)
{
    std::vector<StoreReaderSelection> selections = centreOf(24, at(0));
    for (StoreReaderSelection &selection : selections) {
        const auto first = selection.readerToAsk(at(10));
        if (!first) {
            continue;
        }
        selection.backOff(*first, at(10));
        EXPECT_NE(selection.readerToAsk(at(11)), first);
        EXPECT_EQ(selection.readerToAsk(at(2100)), first);
        selection.backOff(*first, at(2100));
        EXPECT_NE(selection.readerToAsk(at(5000)), first) << "the back-off grows";
        selection.answered(*first);
        selection.backOff(*first, at(5000));
        EXPECT_EQ(selection.readerToAsk(at(7100)), first) << "an answer resets the back-off";
    }
}

// Guards against all of 72 nodes standing by for the order lease and reading its log at every
// renewal: only the first nine ranks stand by, and others replace them if they fail.
TEST(StoreReaderSelection, AFewNodesStandByAndOthersReplaceThemWhenTheyFail)
{
    std::vector<StoreReaderSelection> selections = centreOf(72, at(0));
    const auto standbyNodes = [&selections](TimePoint now) {
        std::set<std::size_t> result;
        for (std::size_t i = 0; i < selections.size(); ++i) {
            if (selections[i].rank(now) < 9) {
                result.insert(i);
            }
        }
        return result;
    };
    const std::set<std::size_t> first = standbyNodes(at(10));
    EXPECT_EQ(first.size(), 9U);
    for (std::size_t i = 0; i < selections.size(); ++i) {
        for (std::size_t other = 0; other < selections.size(); ++other) {
            if (!first.contains(other)) { // the former standby nodes are no longer seen
                selections[i].nodeSeen(other, Centre, endpointOf(other), at(9000));
            }
        }
    }
    const std::set<std::size_t> next = standbyNodes(at(9001));
    EXPECT_GE(next.size(), 9U);
    for (const std::size_t node : first) {
        EXPECT_TRUE(next.contains(node))
                << "a node that can't detect that it is not seen continues";
    }
}

TEST(StoreReaderSelection, ANodeThatIsNoLongerSeenIsRemoved)
{
    StoreReaderSelection selection = centreOf(24, at(0)).front();
    EXPECT_FALSE(selection.readerToAsk(at(8100)));
    selection.nodeSeen(5, Centre, endpointOf(5), at(9000));
    EXPECT_EQ(selection.size(), 1U);
}

TEST(RecordRelay, ReturnsTheChangesAndTheAgeOfTheFreshnessProof)
{
    RecordRelay relay;
    EXPECT_FALSE(relay.changesSince(0, NoSizeLimit, at(0))) << "nothing was read yet";
    relay.restart(10);
    relay.addFreshnessProof(at(0));
    relay.addChange(12, "a");
    relay.addChange(15, "b");
    relay.readUpTo(20);
    relay.addFreshnessProof(at(100));
    const auto updates = relay.changesSince(13, NoSizeLimit, at(150));
    ASSERT_TRUE(updates);
    EXPECT_EQ(updates->next, 20U);
    EXPECT_EQ(updates->age, std::chrono::milliseconds(50));
    ASSERT_EQ(updates->changes.size(), 1U);
    EXPECT_EQ(updates->changes[0].record, "b");
    EXPECT_FALSE(relay.changesSince(9, NoSizeLimit, at(150)))
            << "the topic was listed, single changes are unknown";
    EXPECT_FALSE(relay.changesSince(11, 1, at(150))) << "too large for a datagram";
}

// The querying node is ahead, since it read the store itself in the meantime. The freshness
// proof applies to it, too.
TEST(RecordRelay, ANodeThatIsAheadGetsOnlyTheFreshnessProof)
{
    RecordRelay relay;
    relay.restart(10);
    relay.addFreshnessProof(at(0));
    const auto updates = relay.changesSince(14, NoSizeLimit, at(10));
    ASSERT_TRUE(updates);
    EXPECT_EQ(updates->next, 14U);
    EXPECT_TRUE(updates->changes.empty());
}

// API keys of three customers are revoked within half a second, and each record holds the whole
// configuration. Guards against an answer that is too large although the last record suffices.
TEST(RecordRelay, ARecordReplacesTheOlderOneOfItsKey)
{
    RecordRelay relay;
    relay.restart(10);
    relay.addFreshnessProof(at(0));
    relay.addChange(11, std::string(90, 'a'), "config");
    relay.addChange(12, "v", "version/m");
    relay.addChange(13, std::string(90, 'b'), "config");
    relay.readUpTo(14);
    const auto updates = relay.changesSince(10, 100, at(1));
    ASSERT_TRUE(updates);
    ASSERT_EQ(updates->changes.size(), 2U);
    EXPECT_EQ(updates->changes[0].offset, 12U);
    EXPECT_EQ(updates->changes[1].offset, 13U);
}

// The store drops its history, and the reader lists the newest record of each key. Guards against
// nodes that are further behind and read the store as well instead of getting the listed records.
TEST(RecordRelay, AfterAListingOfAllKeysNoNodeIsTooFarBehind)
{
    RecordRelay relay;
    relay.restartWithListing(40);
    relay.addChange(30, "c", "config");
    relay.addChange(7, "v", "version/m");
    relay.addFreshnessProof(at(0));
    const auto updates = relay.changesSince(3, NoSizeLimit, at(1));
    ASSERT_TRUE(updates);
    EXPECT_EQ(updates->next, 40U);
    ASSERT_EQ(updates->changes.size(), 2U);
    EXPECT_EQ(updates->changes[0].offset, 7U) << "sorted by offset";
    EXPECT_EQ(relay.changesSince(31, NoSizeLimit, at(1))->changes.size(), 0U);
}

TEST(RecordRelay, ChangesThatWereDroppedAreNotSkipped)
{
    RecordRelay relay;
    relay.restart(0);
    relay.addFreshnessProof(at(0));
    for (std::uint64_t offset = 0; offset < RecordRelay::MaxChanges + 5; ++offset) {
        relay.addChange(offset, "x");
    }
    relay.readUpTo(RecordRelay::MaxChanges + 5);
    EXPECT_FALSE(relay.changesSince(4, NoSizeLimit, at(1)));
    EXPECT_EQ(relay.changesSince(5, NoSizeLimit, at(1))->changes.size(), RecordRelay::MaxChanges);
}

// Fifty nodes follow a log in which every third record is a change. They read the store or query
// each other at random, and sometimes restart their relay. Guards against a node that misses a
// change before its offset: a server would get requests after it has left.
TEST(RecordRelay, NoNodeMissesAChangeWhicheverNodeItAsks)
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
            each.relay.addFreshnessProof(at(0));
        }
        std::uint64_t end = 0;
        const auto isChange = [](std::uint64_t offset) { return offset % 3 == 0; };
        const auto apply = [](Follower &follower, std::uint64_t offset) {
            follower.known.insert(offset);
            follower.relay.addChange(offset, "r");
        };
        for (int step = 0; step < 4000; ++step) {
            end += uniformBelow(random, 3);
            Follower &follower = followers[uniformBelow(random, followers.size())];
            const std::uint64_t action = uniformBelow(random, 20);
            if (action == 0) { // read the store
                for (; follower.next < end; ++follower.next) {
                    if (isChange(follower.next)) {
                        apply(follower, follower.next);
                    }
                }
                follower.relay.readUpTo(follower.next);
            } else if (action == 1) { // list the topic
                for (std::uint64_t offset = 0; offset < end; ++offset) {
                    if (isChange(offset)) {
                        follower.known.insert(offset);
                    }
                }
                follower.next = end;
                follower.relay.restart(end);
            } else {
                const Follower &asked = followers[uniformBelow(random, followers.size())];
                const auto updates = asked.relay.changesSince(follower.next, NoSizeLimit, at(step));
                if (updates && &asked != &follower) {
                    for (const RecordRelay::Change &change : updates->changes) {
                        apply(follower, change.offset);
                    }
                    follower.next = updates->next;
                    follower.relay.readUpTo(follower.next);
                }
            }
            for (std::uint64_t offset = 0; offset < follower.next; offset += 3) {
                ASSERT_TRUE(follower.known.contains(offset)) << "seed " << seed << " step " << step;
            }
        }
    }
}

} // namespace
} // namespace vanilladyke
