#include "vanilladyke/policy/backend_tracker.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};

BackendEntry entry(const std::string &id)
{
    BackendEntry result;
    result.id = EngineId(id);
    result.service = ServiceId("s");
    result.endpoint = {"10.0.0.1", 80};
    result.dataCentre = DataCentreId("here");
    result.slots = 8;
    return result;
}

BackendQuery query()
{
    BackendQuery result;
    result.service = ServiceId("s");
    return result;
}

class EngineStatementsTest : public ::testing::Test
{
protected:
    EngineStatementsTest() { m_tracker.setBackends({entry("e1"), entry("e2")}); }

    /// Id of the server that a request would be sent to; empty if there is none.
    [[nodiscard]] std::string chosen(const BackendTracker &tracker, TimePoint now) const
    {
        const auto choice = tracker.choose(query(), now);
        return choice ? choice->backend.id.str() : std::string();
    }

    BackendTracker m_tracker{DataCentreId("here"), {}};
};

TEST_F(EngineStatementsTest, AnEngineThatSaysItLeavesIsNotChosen)
{
    EXPECT_TRUE(m_tracker.leavingObserved(EngineId("e1"), Start));
    EXPECT_FALSE(m_tracker.leavingObserved(EngineId("e1"), Start));
    EXPECT_EQ(chosen(m_tracker, Start), "e2");
    EXPECT_FALSE(m_tracker.hasCapacity(EngineId("e1"), Start));
    EXPECT_TRUE(m_tracker.leavingObserved(EngineId("e2"), Start));
    EXPECT_EQ(chosen(m_tracker, Start + seconds(60)), "");
}

// The engine starts again under its id, and another node still tells what the start before said.
// Guards against keeping a sound engine without requests for ten minutes.
TEST_F(EngineStatementsTest, WhatAnEngineSaidBeforeItStartedAgainDoesNotHold)
{
    static_cast<void>(m_tracker.leavingObserved(EngineId("e1"), Start));
    static_cast<void>(m_tracker.restAsked(EngineId("e1"), seconds(60), Start));
    BackendEntry reborn = entry("e1");
    reborn.start = 1;
    m_tracker.setBackends({reborn}, Start + seconds(3));
    const LeavingUpdate late{BackendTracker::hashOf(EngineId("e1")), seconds(4)};
    EXPECT_TRUE(m_tracker.receivedLeaving({late}, Start + seconds(4)).empty());
    EXPECT_EQ(chosen(m_tracker, Start + seconds(4)), "e1");
}

// The engine leaves, so that it isn't listed for a while, and starts again under its id. Guards
// against keeping it without requests for ten minutes.
TEST_F(EngineStatementsTest, AnEngineThatStartsAgainAfterItLeftHasSaidNothing)
{
    static_cast<void>(m_tracker.leavingObserved(EngineId("e1"), Start));
    m_tracker.setBackends({entry("e2")}, Start + seconds(1));
    BackendEntry reborn = entry("e1");
    reborn.start = 1;
    m_tracker.setBackends({reborn}, Start + seconds(9));
    EXPECT_EQ(chosen(m_tracker, Start + seconds(9)), "e1");
}

// The store comes back with a listing from before, at first without the engine.
TEST_F(EngineStatementsTest, AnOlderListingDoesNotTakeALeavingBack)
{
    static_cast<void>(m_tracker.leavingObserved(EngineId("e1"), Start));
    m_tracker.setBackends({entry("e2")});
    m_tracker.setBackends({entry("e1"), entry("e2")});
    EXPECT_EQ(chosen(m_tracker, Start + seconds(30)), "e2");
}

// Only one node's request met the engine after it had decided to leave.
TEST_F(EngineStatementsTest, ALeavingIsToldToOtherNodesAndNotToldOnByThem)
{
    BackendTracker other(DataCentreId("here"), {});
    other.setBackends({entry("e1"), entry("e2")});
    static_cast<void>(m_tracker.leavingObserved(EngineId("e1"), Start));
    EXPECT_EQ(other.receivedLeaving(m_tracker.ownLeaving(Start + seconds(1)), Start + seconds(1)),
              std::vector<EngineId>{EngineId("e1")});
    EXPECT_EQ(chosen(other, Start + seconds(1)), "e2");
    EXPECT_TRUE(other.ownLeaving(Start + seconds(1)).empty());
    EXPECT_TRUE(m_tracker.ownLeaving(Start + EngineStatements::ReportFor + seconds(1)).empty());
}

TEST_F(EngineStatementsTest, AnEngineThatStartsAgainUnderANewIdHasSaidNothing)
{
    static_cast<void>(m_tracker.leavingObserved(EngineId("e1"), Start));
    m_tracker.setBackends({entry("e3")});
    EXPECT_EQ(chosen(m_tracker, Start), "e3");
}

// An overloaded engine names the time in which it wants nothing from this node.
TEST_F(EngineStatementsTest, AnEngineGetsTheRestThatItAsksFor)
{
    static_cast<void>(m_tracker.restAsked(EngineId("e1"), seconds(4), Start));
    static_cast<void>(m_tracker.restAsked(EngineId("e1"), seconds(1), Start + seconds(1)));
    EXPECT_EQ(chosen(m_tracker, Start + seconds(3)), "e2");
    EXPECT_FALSE(m_tracker.hasCapacity(EngineId("e1"), Start + seconds(3)));
    EXPECT_TRUE(m_tracker.hasCapacity(EngineId("e1"), Start + seconds(4)));
}

TEST_F(EngineStatementsTest, WhereAllEnginesRestTheFirstToReturnIsNamed)
{
    static_cast<void>(m_tracker.restAsked(EngineId("e1"), seconds(2), Start));
    static_cast<void>(m_tracker.restAsked(EngineId("e2"), seconds(1), Start));
    const auto choice = m_tracker.choose(query(), Start);
    ASSERT_FALSE(choice);
    EXPECT_EQ(choice.error().retryAt, Start + seconds(1));
}

// A broken value must not keep an engine out for good, nor let it be asked at once.
TEST_F(EngineStatementsTest, AnAbsurdRestIsBounded)
{
    EXPECT_EQ(m_tracker.restAsked(EngineId("e1"), std::chrono::hours(9000), Start),
              Start + EngineStatements::MaxRest);
    EXPECT_EQ(m_tracker.restAsked(EngineId("e2"), -seconds(5), Start), Start);
}

} // namespace
} // namespace vanilladyke
