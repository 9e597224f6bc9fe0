#include "vanilladyke/policy/backend_roster.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

BackendEntry entry(const std::string &id, std::uint64_t heartbeat, bool isDraining = false)
{
    BackendEntry result;
    result.id = EngineId(id);
    result.endpoint = {"10.0.0.1", 80};
    result.heartbeat = heartbeat;
    result.isDraining = isDraining;
    return result;
}

TEST(BackendRoster, ExcludesDrainingServers)
{
    BackendRoster roster;
    EXPECT_TRUE(roster.put(entry("a", 1), at(0)));
    EXPECT_FALSE(roster.put(entry("a", 2), at(1)));
    EXPECT_TRUE(roster.put(entry("a", 3, true), at(2)));
    EXPECT_TRUE(roster.serving().empty());
}

// A server reports that it drains, and an entry that it wrote before arrives afterwards because the
// store executed a delayed write. Guards against sending requests to a server that is leaving.
TEST(BackendRoster, AnOlderEntryDoesNotBringADrainingServerBack)
{
    BackendRoster roster;
    roster.put(entry("a", 5, true), at(0));
    EXPECT_FALSE(roster.put(entry("a", 4), at(1)));
    EXPECT_FALSE(roster.put(entry("a", 6), at(2))) << "a draining server stays excluded";
    EXPECT_TRUE(roster.serving().empty());
}

TEST(BackendRoster, AnEntryRemovedWhileTheStoreIsAvailableTakesEffectAtOnce)
{
    BackendRoster roster;
    roster.put(entry("a", 1), at(0));
    EXPECT_TRUE(roster.remove(EngineId("a"), at(10)));
    EXPECT_TRUE(roster.serving().empty());
}

// The store was unavailable for longer than three heartbeats, and all entries lapsed. Guards
// against reading the empty list as the removal of every server, so that callers would be refused.
TEST(BackendRoster, EntriesThatLapsedDuringAStoreFailureAreKeptUntilServersCanWriteAgain)
{
    BackendRoster roster;
    roster.put(entry("a", 1), at(0));
    roster.put(entry("b", 1), at(0));
    roster.storeFailed(at(1000));
    roster.remove(EngineId("a"), at(3000));
    roster.remove(EngineId("b"), at(3100));
    EXPECT_EQ(roster.serving().size(), 2U);
    roster.put(entry("a", 2), at(4000));
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
        roster.put(entry(id, 1), at(0));
    }
    roster.storeFailed(at(1000));
    EXPECT_TRUE(roster.remove(EngineId("a"), at(1500)));
    EXPECT_EQ(roster.serving().size(), 2U);
}

TEST(BackendRoster, ACompleteListRemovesMissingEntries)
{
    BackendRoster roster;
    roster.put(entry("a", 1), at(0));
    roster.put(entry("b", 1), at(0));
    EXPECT_TRUE(roster.keepOnly({{EngineId("b"), true}}, false, at(10)));
    ASSERT_EQ(roster.serving().size(), 1U);
    EXPECT_EQ(roster.serving()[0].id, EngineId("b"));
}

// The store comes back from a copy that holds the entry of a server that was removed since. Guards
// against requests to a server that is gone, at an address that another one may have by now.
TEST(BackendRoster, ARemovedServerDoesNotReturnWithAnEntryThatIsNoNewer)
{
    BackendRoster roster;
    roster.put(entry("a", 5), at(0));
    EXPECT_TRUE(roster.remove(EngineId("a"), at(10)));
    EXPECT_FALSE(roster.put(entry("a", 5), at(20)));
    EXPECT_TRUE(roster.serving().empty());
    EXPECT_TRUE(roster.put(entry("a", 6), at(30))); // it has written again
    EXPECT_EQ(roster.serving().size(), 1U);
}

// The copy lacks a server that registered after it was made. Guards against dropping a server that
// serves, which writes its entry again within moments.
TEST(BackendRoster, ServersThatAnOlderCopyLacksAreKeptUntilTheyCanWriteAgain)
{
    BackendRoster roster;
    roster.put(entry("a", 1), at(0));
    roster.put(entry("b", 1), at(0));
    EXPECT_FALSE(roster.keepOnly({{EngineId("b"), true}}, true, at(10)));
    EXPECT_EQ(roster.serving().size(), 2U);
    EXPECT_FALSE(roster.expire(at(2000)));
    EXPECT_TRUE(roster.expire(at(2300)));
    ASSERT_EQ(roster.serving().size(), 1U);
    EXPECT_EQ(roster.serving()[0].id, EngineId("b"));
}

} // namespace
} // namespace vanilladyke
