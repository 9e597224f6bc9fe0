#include "vanilladyke/policy/fleet_quota.hpp"

#include "vanilladyke/policy/quota_replay.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes, and the quota of the customer: for the lower one a node's equal part is less than one
/// prompt.
struct QuotaSize
{
    std::size_t nodes;
    double perSecond;
};

class FleetQuotaReplay : public ::testing::TestWithParam<QuotaSize>
{
protected:
    static QuotaReplayTerms terms(double demand, std::uint64_t seed)
    {
        QuotaReplayTerms result;
        result.nodes = GetParam().nodes;
        result.quota.perSecond = GetParam().perSecond;
        result.quota.burst = GetParam().perSecond;
        result.demand = demand;
        result.seed = seed;
        result.length = result.nodes > 100 ? 21'000 : 28'000;
        return result;
    }
    /// Seeds for which a replay is played; a large fleet takes long.
    static std::uint64_t seeds() { return GetParam().nodes > 50 ? 1 : 4; }

    using Replay = QuotaReplay<ToldByAll>;

    static void expectKept(double demand, const Replay::Fault &fault)
    {
        for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
            Replay replay(terms(demand, seed));
            replay.run(fault);
            EXPECT_LE(replay.worstWindow(), 1) << "seed " << seed;
        }
    }
    static void nothing(Replay & /*replay*/, int /*ms*/) {}
};

INSTANTIATE_TEST_SUITE_P(Sizes, FleetQuotaReplay,
                         ::testing::Values(QuotaSize{3, 47'000}, QuotaSize{3, 1'000'000},
                                           QuotaSize{9, 47'000}, QuotaSize{9, 1'000'000},
                                           QuotaSize{73, 47'000}, QuotaSize{73, 1'000'000},
                                           QuotaSize{410, 47'000}, QuotaSize{410, 1'000'000}),
                         [](const auto &each) {
                             return std::to_string(each.param.nodes) + "Nodes"
                                    + std::to_string(static_cast<int>(each.param.perSecond));
                         });

// Guards against refusing what a customer pays for, because the node that it asks has only a part
// of its quota.
TEST_P(FleetQuotaReplay, WithinTheQuotaRequestsAreServed)
{
    Replay replay(terms(0.9, 1));
    replay.run(nothing);
    EXPECT_GE(replay.servedPart(), 0.98);
    EXPECT_LE(replay.worstWindow(), 1);
}

// Guards against each node admitting the whole quota, and against admitting less than the quota
// because much more is asked.
TEST_P(FleetQuotaReplay, FarAboveTheQuotaItIsServedAndNotMore)
{
    Replay replay(terms(4.2, 1));
    replay.run(nothing);
    EXPECT_GE(replay.servedPart(), 0.9);
    EXPECT_LE(replay.worstWindow(), 1);
}

// A customer's demand rises to eight times within a moment. Guards against nodes that spend what
// the others have spent already, until they hear of it.
TEST_P(FleetQuotaReplay, ASurgeAtAllNodesKeepsTheQuota)
{
    expectKept(0.9, [](Replay &replay, int ms) {
        if (ms == 10'000 || ms == 20'000) {
            replay.setDemand(ms == 10'000 ? 7.2 : 0.9);
        }
    });
}

// All processes are killed and start again within some seconds. Guards against a process that
// begins with a full account, so that the burst may be spent once more at each node.
TEST_P(FleetQuotaReplay, ProcessesThatAllStartAgainKeepTheQuota)
{
    const Replay::Fault killAll = [](Replay &replay, int ms) {
        for (std::size_t i = 0; i < replay.nodes(); ++i) {
            if (ms == 10'000) {
                replay.kill(i);
            }
            if (ms == 11'000 + static_cast<int>(i % 300)) {
                replay.start(i, ms);
            }
        }
    };
    expectKept(7.2, killAll);
    Replay within(terms(0.9, 1));
    within.run(killAll);
    EXPECT_GE(within.servedPart(), 0.9);
}

// A tenth of the processes is killed each second, one group after the other, under a customer that
// asks for far more than its quota.
TEST_P(FleetQuotaReplay, KillsInSeriesKeepTheQuota)
{
    expectKept(7.2, [](Replay &replay, int ms) {
        for (std::size_t i = 0; i < replay.nodes(); ++i) {
            const int killedAt = 8'000 + 1000 * static_cast<int>(i % 10);
            if (ms == killedAt) {
                replay.kill(i);
            }
            if (ms == killedAt + 700) {
                replay.start(i, ms);
            }
        }
    });
}

// More than half of the processes are killed while the customer asks for six times its quota, and
// their callers move to the others.
TEST_P(FleetQuotaReplay, AKillOfMostNodesUnderASurgeKeepsTheQuota)
{
    expectKept(5.4, [](Replay &replay, int ms) {
        for (std::size_t i = 0; i < replay.nodes() * 3 / 5; ++i) {
            if (ms == 10'000) {
                replay.kill(i);
            }
            if (ms == 12'000) {
                replay.start(i, ms);
            }
        }
    });
}

// The fleet falls into halves that don't hear each other, as between data centres. Guards against
// each half admitting the whole quota.
TEST_P(FleetQuotaReplay, HalvesThatLoseEachOtherKeepTheQuota)
{
    expectKept(4.2, [](Replay &replay, int ms) {
        if (ms == 8'000 || ms == 20'000) {
            replay.split(ms == 8'000 ? 0.5 : 0);
        }
    });
}

// A third of the nodes hears nobody. Guards against each of them admitting the whole quota, and
// against the moment before it notices.
TEST_P(FleetQuotaReplay, NodesThatAreAloneKeepTheQuota)
{
    expectKept(7.2, [](Replay &replay, int ms) {
        if (ms == 8'000 || ms == 20'000) {
            replay.isolate(ms == 8'000 ? 0.35 : 0);
        }
    });
}

// A third of the processes stands still and goes on. Guards against accounts that have grown all
// the while without what the others spent.
TEST_P(FleetQuotaReplay, ProcessesThatStandStillKeepTheQuota)
{
    expectKept(7.2, [](Replay &replay, int ms) {
        if (ms == 8'000 || ms == 13'000) {
            replay.freeze(0.35, ms == 8'000);
        }
    });
}

// The operator lowers a quota in the middle, and nodes learn of it within three seconds. From then
// on one window may hold what was admitted before.
TEST_P(FleetQuotaReplay, ALowerQuotaBindsOnceAllNodesKnowIt)
{
    QuotaReplayTerms before = terms(4.2, 1);
    CustomerQuota lower = before.quota;
    lower.perSecond /= 2;
    lower.burst /= 2;
    Replay replay(before);
    replay.run([&](Replay &play, int ms) {
        for (std::size_t i = 0; i < play.nodes(); ++i) {
            if (ms == 1'000 + static_cast<int>(3000 * i / play.nodes())) {
                play.way().setQuota(i, lower, ms);
            }
        }
    });
    const double allowed = lower.perSecond * 8 + lower.burst + before.tolerance.excess(lower);
    EXPECT_LE(replay.admittedBetween(12'500, 20'500), allowed);
    EXPECT_GE(replay.admittedBetween(12'500, 20'500), 0.9 * 8 * lower.perSecond);
}

class FleetQuotaTest : public ::testing::Test
{
protected:
    FleetQuotaTest()
    {
        m_quota.setTolerance({seconds(8), 0.1, 100});
        m_quota.setNodes(1);
        setCustomer({QuotaUnit::Requests, 10, 10, 0});
    }
    void setCustomer(const CustomerQuota &quota)
    {
        RoutedCustomer limited;
        limited.id = CustomerId("c");
        limited.quota = quota;
        RoutedCustomer free;
        free.id = CustomerId("free");
        m_quota.setCustomers({limited, free}, replayTime(m_ms));
    }
    QuotaDecision admit(std::optional<double> tokens = std::nullopt, const char *customer = "c")
    {
        const TimePoint now = replayTime(m_ms);
        return m_quota.admit(hashOfName(customer), tokens, now + seconds(2), m_random, now);
    }
    int admitAll()
    {
        int count = 0;
        while (admit().isAdmitted) {
            ++count;
        }
        return count;
    }

    Random m_random{5};
    int m_ms = 60'000;
    FleetQuota m_quota{replayTime(0)};
};

TEST_F(FleetQuotaTest, CountsRequestsOrTokens)
{
    EXPECT_EQ(admitAll(), 10 + 25); // the burst, and a quarter of the slack
    setCustomer({QuotaUnit::Tokens, 1000, 1000, 200});
    m_ms += 2000;
    EXPECT_EQ(admit(700).amount, 700);
    EXPECT_EQ(admit().amount, 200) << "a request that names no number of tokens";
    EXPECT_FALSE(admit(700).isAdmitted);
}

TEST_F(FleetQuotaTest, ACustomerWithoutAQuotaHasNoLimit)
{
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(admit(1e6, "free").isAdmitted);
    }
    EXPECT_FALSE(m_quota.tellBy());
}

// Guards against a prompt that is larger than the whole account being refused for ever.
TEST_F(FleetQuotaTest, AFullAccountAdmitsARequestThatIsLargerAndIsThenInDebt)
{
    setCustomer({QuotaUnit::Tokens, 1000, 1000, 200});
    m_ms += 2000;
    EXPECT_TRUE(admit(5000).isAdmitted);
    m_ms += 3000;
    EXPECT_FALSE(admit(100).isAdmitted);
    m_ms += 2000;
    EXPECT_TRUE(admit(100).isAdmitted);
}

// Guards against callers that come back at the time that they were told, all at once, and find the
// quota spent.
TEST_F(FleetQuotaTest, RefusedCallersAreToldTimesOneAfterTheOther)
{
    admitAll();
    TimePoint before = replayTime(m_ms);
    for (int i = 1; i < 10; ++i) {
        const QuotaDecision decision = admit();
        ASSERT_TRUE(decision.retryAt);
        EXPECT_GE(*decision.retryAt - before, milliseconds(99)) << i;
        before = *decision.retryAt;
    }
    // What other nodes have refused goes before, too.
    m_quota.applyUpdates({{hashOfName("c"), 0, 10}}, replayTime(m_ms));
    EXPECT_GE(*admit().retryAt - before, milliseconds(1000));
}

TEST_F(FleetQuotaTest, WhatDidNotRunIsGivenBackAtAllNodes)
{
    m_quota.setTolerance({seconds(8), 0.1, 5});
    admitAll();
    static_cast<void>(m_quota.takeUpdates());
    m_quota.giveBack(hashOfName("c"), 1, m_random, replayTime(m_ms));
    const auto updates = m_quota.takeUpdates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().admitted, -1);
    EXPECT_EQ(admitAll(), 1);
}

// Guards against messages that grow with the number of small requests.
TEST_F(FleetQuotaTest, SmallRequestsAreToldAsFewLargerAmounts)
{
    setCustomer({QuotaUnit::Tokens, 1e6, 1e6, 200});
    m_quota.setTolerance({seconds(8), 0.1, 190'000});
    int told = 0;
    double amount = 0;
    double admitted = 0;
    for (int i = 0; i < 40'000; ++i) {
        m_ms += i % 2;
        admitted += admit(400).isAdmitted ? 400 : 0;
        for (const SpendUpdate &each : m_quota.takeUpdates()) {
            ++told;
            amount += static_cast<double>(each.admitted);
        }
    }
    EXPECT_LT(told, 40'000 / 10);
    EXPECT_NEAR(amount / admitted, 1, 0.15);
}

// Guards against a node that starts beside others and refuses callers until its accounts have
// grown, or admits what the others have admitted already.
TEST_F(FleetQuotaTest, AProcessThatStartsTakesOverTheLevelsOfOthers)
{
    admitAll();
    const auto levels = m_quota.levels(replayTime(m_ms));
    ASSERT_TRUE(levels);
    FleetQuota next(replayTime(m_ms));
    EXPECT_FALSE(next.levels(replayTime(m_ms))) << "it knows nothing yet";
    next.setTolerance({seconds(8), 0.1, 100});
    next.setNodes(1000);
    RoutedCustomer limited;
    limited.id = CustomerId("c");
    limited.quota = {QuotaUnit::Requests, 10, 10, 0};
    RoutedCustomer idle = limited;
    idle.id = CustomerId("idle");
    next.setCustomers({limited, idle}, replayTime(m_ms));
    EXPECT_TRUE(next.needsLevels(replayTime(m_ms)));
    next.applyLevels(*levels, replayTime(m_ms));
    EXPECT_FALSE(next.needsLevels(replayTime(m_ms)));
    EXPECT_LT(*next.level(hashOfName("c"), replayTime(m_ms)), 1);
    EXPECT_EQ(*next.level(hashOfName("idle"), replayTime(m_ms)), 35);
}

} // namespace
} // namespace vanilladyke
