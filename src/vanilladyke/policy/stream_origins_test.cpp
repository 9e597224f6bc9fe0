#include "vanilladyke/policy/stream_origins.hpp"

#include "vanilladyke/policy/origin_homes.hpp"
#include "vanilladyke/policy/software_history.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ServiceId llm("llm");

BackendEntry server(const std::string &id, const std::string &software)
{
    BackendEntry entry;
    entry.id = EngineId(id);
    entry.service = llm;
    entry.software = software;
    return entry;
}

class SoftwareHistoryTest : public ::testing::Test
{
protected:
    /// Lists servers of these versions.
    void list(const std::vector<std::string> &versions)
    {
        std::vector<BackendEntry> entries;
        entries.reserve(versions.size());
        for (const std::string &each : versions) {
            entries.push_back(server("e" + std::to_string(entries.size()), each));
        }
        m_hasSecond = m_history.setServers(entries, m_now);
    }
    [[nodiscard]] std::optional<std::uint64_t> only() const
    {
        return m_history.onlyVersion(llm, m_now);
    }

    static SoftwareRecords recordOf(const std::vector<std::string> &versions, Duration callersTime)
    {
        SoftwareRecords records;
        RecordedSoftware &recorded = records.services[llm];
        for (const std::string &each : versions) {
            recorded.versions.insert(softwareKey(each));
        }
        recorded.callersTime = callersTime;
        return records;
    }

    SoftwareHistory m_history;
    TimePoint m_now = TimePoint() + std::chrono::hours(1);
    bool m_hasSecond = false;
};

// What was recorded first is what ran. A caller that names a later attempt must not move its stream
// to another version.
TEST(StreamOriginsTest, TheFirstRecordOfAnAttemptHolds)
{
    StreamOrigins origins;
    const TimePoint now = TimePoint() + minutes(10);
    origins.record({1, 10, now + seconds(8)}, now);
    origins.record({1, 11, now + seconds(9)}, now);
    EXPECT_EQ(origins.find(1, now), 10U);
    EXPECT_EQ(origins.find(1, now + seconds(9)), std::nullopt);
    EXPECT_EQ(origins.find(2, now), std::nullopt);
}

// Callers without deadlines must not use up the memory of a small host.
TEST(StreamOriginsTest, TheOldestRecordGivesWay)
{
    StreamOrigins origins;
    const TimePoint now = TimePoint() + minutes(10);
    for (std::uint64_t i = 0; i < StreamOrigins::MaxStreams + 10; ++i) {
        origins.record({i, 1, now + minutes(5)}, now);
    }
    EXPECT_EQ(origins.size(), StreamOrigins::MaxStreams);
    EXPECT_EQ(origins.find(0, now), std::nullopt);
    EXPECT_EQ(origins.find(StreamOrigins::MaxStreams, now), 1U);
}

// A node that has just started can't know which versions began the streams that callers take up.
TEST_F(SoftwareHistoryTest, ANewNodeKnowsNoOnlyVersion)
{
    list({"v1", "v1"});
    EXPECT_EQ(only(), std::nullopt);
    EXPECT_TRUE(m_history.isAlone(llm, softwareKey("v1")));
    m_now += seconds(62);
    EXPECT_EQ(only(), std::nullopt);
    m_now += seconds(2);
    EXPECT_EQ(only(), softwareKey("v1"));
}

// Nobody has stated a deadline to a process that has just started. A caller that comes back after
// half a minute must not get the rest of its stream from another version.
TEST_F(SoftwareHistoryTest, CallersThatComeBackLateAreNotGuessedFor)
{
    list({"v1"});
    m_history.observeLifetime(llm, seconds(4));
    m_now += minutes(2);
    EXPECT_EQ(only(), softwareKey("v1"));
    list({"v2"});
    m_now += seconds(60);
    EXPECT_EQ(only(), std::nullopt);
}

// The last server of the old version leaves. Callers may still come back for its streams.
TEST_F(SoftwareHistoryTest, AVersionThatLeftCountsAsLongAsCallersMayComeBack)
{
    list({"v1"});
    m_history.observeLifetime(llm, seconds(90));
    m_now += minutes(2);
    EXPECT_EQ(only(), softwareKey("v1"));
    list({"v1", "v2"});
    EXPECT_TRUE(m_hasSecond);
    EXPECT_EQ(only(), std::nullopt);
    m_now += minutes(2);
    list({"v2"});
    EXPECT_FALSE(m_hasSecond);
    m_now += seconds(90);
    EXPECT_EQ(only(), std::nullopt);
    EXPECT_TRUE(m_history.isListed(llm, softwareKey("v2")));
    EXPECT_FALSE(m_history.isListed(llm, softwareKey("v1")));
    m_now += seconds(4);
    EXPECT_EQ(only(), softwareKey("v2"));
}

// All nodes are killed while one version serves. What began the streams is known to no process.
TEST_F(SoftwareHistoryTest, TheRecordOutlivesAllNodes)
{
    list({"v1"});
    m_history.setRecords(recordOf({"v1"}, seconds(10)));
    EXPECT_EQ(only(), softwareKey("v1"));
    EXPECT_TRUE(m_history.dueRecords(m_now).services.empty());
}

// A server of another version joined and left while the node stood still: one page holds both.
TEST_F(SoftwareHistoryTest, AVersionThatCameAndLeftBetweenTwoListsMayHaveBegunStreams)
{
    list({"v1"});
    m_history.setRecords(recordOf({"v1"}, seconds(10)));
    m_now += minutes(5);
    m_history.versionRead(llm, softwareKey("v1.1"), m_now);
    list({"v1"});
    EXPECT_EQ(only(), std::nullopt);
    m_now += seconds(64);
    list({"v1"});
    EXPECT_EQ(only(), softwareKey("v1"));
}

// The store has forgotten its history while the node was cut off: the list was read as a whole
// again.
TEST_F(SoftwareHistoryTest, AVersionThatCameAndLeftDuringAGapMayHaveBegunStreams)
{
    list({"v1"});
    m_history.setRecords(recordOf({"v1"}, seconds(10)));
    m_now += minutes(5);
    m_history.watchInterrupted(m_now);
    EXPECT_EQ(only(), std::nullopt) << "the records were read before the gap ended";
    m_history.setRecords(recordOf({"v1", "v1.1"}, seconds(10)));
    EXPECT_EQ(only(), std::nullopt);
}

// All nodes are killed when the last server of a version has left. Its streams would be joined with
// what the next version writes.
TEST_F(SoftwareHistoryTest, ARecordedVersionThatIsNotListedMayHaveBegunStreams)
{
    list({"v2"});
    m_history.setRecords(recordOf({"v1", "v2"}, seconds(120)));
    EXPECT_EQ(only(), std::nullopt);
    m_now += seconds(122);
    EXPECT_EQ(only(), std::nullopt);
    EXPECT_TRUE(m_history.dueRecords(m_now).services.empty());
    m_now += seconds(2);
    EXPECT_EQ(only(), softwareKey("v2"));
    const SoftwareRecords due = m_history.dueRecords(m_now);
    ASSERT_EQ(due.services.count(llm), 1U);
    EXPECT_EQ(due.services.at(llm).versions, std::set{softwareKey("v2")});
}

// A version is used before it is recorded; the record still holds the one that left.
TEST_F(SoftwareHistoryTest, AListedVersionThatIsNotRecordedCountsAndIsDue)
{
    list({"v2"});
    m_history.setRecords(recordOf({"v1"}, seconds(10)));
    EXPECT_EQ(only(), std::nullopt);
    const SoftwareRecords due = m_history.dueRecords(m_now);
    ASSERT_EQ(due.services.count(llm), 1U);
    EXPECT_EQ(due.services.at(llm).versions, (std::set{softwareKey("v1"), softwareKey("v2")}));
}

// Without a record nobody knows what began streams before, except where none was.
TEST_F(SoftwareHistoryTest, WithoutARecordOnlyTheFirstStartKnows)
{
    list({"v1"});
    m_history.setRecords({});
    EXPECT_EQ(only(), std::nullopt);
    EXPECT_TRUE(m_history.dueRecords(m_now).services.empty());
    m_history = SoftwareHistory(true);
    list({"v1"});
    EXPECT_EQ(only(), std::nullopt); // nothing was read yet
    m_history.setRecords({});
    EXPECT_EQ(only(), softwareKey("v1"));
    EXPECT_EQ(m_history.dueRecords(m_now).services.count(llm), 1U);
}

// Both lists come apart, never together: streams of the first version were told to nobody.
TEST_F(SoftwareHistoryTest, AReplacementWithoutOverlapIsASecondVersion)
{
    list({"v1"});
    m_now += minutes(1);
    list({});
    m_now += seconds(1);
    list({"v2"});
    EXPECT_TRUE(m_hasSecond);
    EXPECT_EQ(only(), std::nullopt);
}

// Nodes see each other at different times, and a third of them is killed at once. What one told has
// to be found by those that are left.
TEST(OriginHomesTest, ThoseWhoAskFindAHomeThatWasTold)
{
    constexpr int Nodes = 12;
    constexpr int Killed = 4;
    const auto hash = [](int node) { return hashOfName("node" + std::to_string(node)); };
    const TimePoint now = TimePoint() + minutes(1);
    int found = 0;
    constexpr std::uint64_t Streams = 2000;
    for (std::uint64_t stream = 0; stream < Streams; ++stream) {
        const std::uint64_t attempt = attemptKey("attempt" + std::to_string(stream));
        const int teller = static_cast<int>(stream % Killed); // the first nodes are killed
        const int asker = Killed + static_cast<int>(stream % (Nodes - Killed));
        OriginHomes<int> atTeller;
        OriginHomes<int> atAsker;
        for (int node = 0; node < Nodes; ++node) {
            if (node != teller) {
                atTeller.nodeSeen(node, now);
            }
            if (node != asker) {
                atAsker.nodeSeen(node, now);
            }
        }
        const auto told = atTeller.homes(attempt, OriginHomes<int>::Told, hash, now);
        std::set<int> reached{asker};
        for (const int each : atAsker.homes(attempt, OriginHomes<int>::Asked, hash, now)) {
            reached.insert(each);
        }
        found += std::any_of(told.begin(), told.end(),
                             [&](int each) { return each >= Killed && reached.contains(each); });
    }
    // A pair among the killed: 3 of 11 times 2 of 10.
    EXPECT_GT(found, Streams * 9 / 10);
}

} // namespace
} // namespace vanilladyke
