#include "vanilladyke/policy/backend_roster.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

/// Position behind all that were used before.
StorePosition next()
{
    static std::uint64_t last = 0;
    return {0, ++last};
}

BackendEntry entry(const std::string &id, std::uint64_t heartbeat, bool isDraining = false)
{
    BackendEntry result;
    result.position = next();
    result.id = EngineId(id);
    result.endpoint = {"10.0.0.1", 80};
    result.heartbeat = heartbeat;
    result.isDraining = isDraining;
    return result;
}

TEST(BackendRoster, ExcludesDrainingServers)
{
    BackendRoster roster;
    EXPECT_TRUE(roster.put(entry("a", 1)));
    EXPECT_FALSE(roster.put(entry("a", 2)));
    EXPECT_TRUE(roster.put(entry("a", 3, true)));
    EXPECT_TRUE(roster.serving().empty());
}

// A server reports that it drains, and an entry that it wrote before arrives afterwards because the
// store executed a delayed write. Guards against sending requests to a server that is leaving.
TEST(BackendRoster, AnOlderEntryDoesNotBringADrainingServerBack)
{
    BackendRoster roster;
    roster.put(entry("a", 5, true));
    EXPECT_FALSE(roster.put(entry("a", 4)));
    EXPECT_FALSE(roster.put(entry("a", 6))) << "a draining server stays excluded";
    EXPECT_TRUE(roster.serving().empty());
}

TEST(BackendRoster, AnEntryRemovedWhileTheStoreIsAvailableTakesEffectAtOnce)
{
    BackendRoster roster;
    roster.put(entry("a", 1));
    EXPECT_TRUE(roster.remove(EngineId("a"), next(), at(10)));
    EXPECT_TRUE(roster.serving().empty());
}

// The store was unavailable for longer than three heartbeats, and all entries lapsed. Guards
// against reading the empty list as the removal of every server, so that callers would be refused.
TEST(BackendRoster, EntriesThatLapsedDuringAStoreFailureAreKeptUntilServersCanWriteAgain)
{
    BackendRoster roster;
    roster.put(entry("a", 1));
    roster.put(entry("b", 1));
    roster.storeFailed(at(1000));
    roster.remove(EngineId("a"), next(), at(3000));
    roster.remove(EngineId("b"), next(), at(3100));
    EXPECT_EQ(roster.serving().size(), 2U);
    roster.put(entry("a", 2));
    EXPECT_FALSE(roster.expire(at(5000)));
    EXPECT_TRUE(roster.expire(at(5300)));
    ASSERT_EQ(roster.serving().size(), 1U);
    EXPECT_EQ(roster.serving()[0].id, EngineId("a"));
}

// Only this node lost its connection to the store. Just after it returns, a server leaves without
// draining. Guards against keeping its entry as a lapsed one, so that it would get requests after
// it is gone.
TEST(BackendRoster, OneServerThatLeavesAfterAStoreFailureIsRemovedAtOnce)
{
    BackendRoster roster;
    for (const char *id : {"a", "b", "c"}) {
        roster.put(entry(id, 1));
    }
    roster.storeFailed(at(1000));
    EXPECT_TRUE(roster.remove(EngineId("a"), next(), at(1500)));
    EXPECT_EQ(roster.serving().size(), 2U);
}

TEST(BackendRoster, ACompleteListRemovesMissingEntries)
{
    BackendRoster roster;
    roster.put(entry("a", 1));
    roster.put(entry("b", 1));
    EXPECT_TRUE(roster.keepOnly({{EngineId("b"), true}}, false, at(10)));
    ASSERT_EQ(roster.serving().size(), 1U);
    EXPECT_EQ(roster.serving()[0].id, EngineId("b"));
}

// The store comes back from a copy that holds the entry of a server that was removed since. Guards
// against requests to a server that is gone, at an address that another one may have by now.
TEST(BackendRoster, ARemovedServerDoesNotReturnWithAnEntryThatIsNoNewer)
{
    BackendRoster roster;
    roster.put(entry("a", 5));
    EXPECT_TRUE(roster.remove(EngineId("a"), next(), at(10)));
    EXPECT_FALSE(roster.put(entry("a", 5)));
    EXPECT_TRUE(roster.serving().empty());
    EXPECT_TRUE(roster.put(entry("a", 6))); // it has written again
    EXPECT_EQ(roster.serving().size(), 1U);
}

// A server crashes and starts again under its id, so that its count begins anew, and drains. Guards
// against taking its entries for old ones, and against taking what the start before said for its.
TEST(BackendRoster, AServerThatStartedAgainUnderItsIdDrains)
{
    BackendRoster roster;
    BackendEntry reborn = entry("a", 1);
    reborn.start = 2;
    roster.put(entry("a", 3000, true));
    reborn.position = next();
    EXPECT_TRUE(roster.put(reborn));
    EXPECT_EQ(roster.serving().size(), 1U);
    reborn.position = next();
    reborn.isDraining = true;
    EXPECT_TRUE(roster.put(reborn));
    EXPECT_TRUE(roster.serving().empty());
}

/// An entry of another start of the server.
BackendEntry entryOfStart(std::uint64_t start, std::uint64_t heartbeat, bool isDraining = false)
{
    BackendEntry result = entry("a", heartbeat, isDraining);
    result.start = start;
    return result;
}

// The store carries out late what a server wrote before it started again. Guards against requests
// to a server that has drained since.
TEST(BackendRoster, ALateEntryOfAnEarlierStartDoesNotBringADrainingServerBack)
{
    BackendRoster roster;
    roster.put(entryOfStart(1, 3000));
    roster.put(entryOfStart(2, 1));
    EXPECT_TRUE(roster.put(entryOfStart(2, 2, true)));
    EXPECT_FALSE(roster.put(entryOfStart(1, 3001)));
    EXPECT_TRUE(roster.serving().empty());
    EXPECT_FALSE(roster.put(entryOfStart(2, 3, true)));
}

// A server starts again after its host's clock was set back, so that its start seems the earlier
// one. Guards against ignoring it for good.
TEST(BackendRoster, AServerWhoseClockWasSetBackReturnsWithItsSecondEntry)
{
    BackendRoster roster;
    roster.put(entryOfStart(5, 3000));
    EXPECT_FALSE(roster.put(entryOfStart(3, 1)));
    EXPECT_TRUE(roster.put(entryOfStart(3, 2)));
    EXPECT_EQ(roster.find(EngineId("a"))->start, 3U);
}

// The same server drains with its first entry. Guards against sending it requests until it writes
// again.
TEST(BackendRoster, AnEntryOfALowerStartThatDrainsTakesEffectAtOnce)
{
    BackendRoster roster;
    roster.put(entryOfStart(5, 3000));
    EXPECT_TRUE(roster.put(entryOfStart(3, 1, true)));
    EXPECT_TRUE(roster.serving().empty());
    EXPECT_TRUE(roster.put(entryOfStart(5, 3001))); // it was a late one, and the server writes on
    EXPECT_EQ(roster.serving().size(), 1U);
}

// Another writer's entry under a server's id holds a huge count. Guards against ignoring all that
// the server writes from then on, also once that entry was removed.
TEST(BackendRoster, AHugeCountOfAnotherWriterHidesNoServer)
{
    constexpr std::uint64_t Huge = ~std::uint64_t{0};
    BackendRoster roster;
    roster.put(entry("a", 5));
    BackendEntry other = entry("a", Huge);
    other.service = ServiceId("other");
    EXPECT_TRUE(roster.put(other));
    EXPECT_TRUE(roster.put(entry("a", 6)));
    EXPECT_EQ(roster.serving()[0].service, ServiceId());
    roster.put(entry("a", Huge));
    EXPECT_TRUE(roster.remove(EngineId("a"), next(), at(0)));
    EXPECT_FALSE(roster.put(entry("a", 7)));
    EXPECT_TRUE(roster.put(entry("a", 8)));
}

// Pages of a listing are no snapshot: a later page holds an entry that follows a removal which is
// read only afterwards. Guards against dropping a server that is listed.
TEST(BackendRoster, ARecordBeforeTheListedEntryChangesNothing)
{
    BackendRoster roster;
    const StorePosition removal = next();
    BackendEntry older = entry("a", 4);
    older.endpoint.port = 81;
    EXPECT_TRUE(roster.put(entry("a", 5)));
    EXPECT_FALSE(roster.remove(EngineId("a"), removal, at(0)));
    EXPECT_FALSE(roster.put(older));
    EXPECT_EQ(roster.serving()[0].endpoint.port, 80);
}

// A store comes back from a copy with an entry of the start before. Guards against sending requests
// to the address that the server had then.
TEST(BackendRoster, AnEntryOfAnOlderCopyDoesNotReplaceANewerOne)
{
    BackendRoster roster;
    BackendEntry reborn = entry("a", 1);
    reborn.start = 2;
    roster.put(reborn);
    BackendEntry copied = entry("a", 3000);
    copied.position = {1, 0};
    EXPECT_FALSE(roster.put(copied));
    EXPECT_EQ(roster.find(EngineId("a"))->start, 2U);
    reborn.position = {1, 1};
    reborn.software = "v2"; // it has written again
    EXPECT_TRUE(roster.put(reborn));
}

// The copy lacks a server that registered after it was made. Guards against dropping a server that
// serves, which writes its entry again within moments.
TEST(BackendRoster, ServersThatAnOlderCopyLacksAreKeptUntilTheyCanWriteAgain)
{
    BackendRoster roster;
    roster.put(entry("a", 1));
    roster.put(entry("b", 1));
    EXPECT_FALSE(roster.keepOnly({{EngineId("b"), true}}, true, at(10)));
    EXPECT_EQ(roster.serving().size(), 2U);
    EXPECT_FALSE(roster.expire(at(2000)));
    EXPECT_TRUE(roster.expire(at(2300)));
    ASSERT_EQ(roster.serving().size(), 1U);
    EXPECT_EQ(roster.serving()[0].id, EngineId("b"));
}

} // namespace
} // namespace vanilladyke
