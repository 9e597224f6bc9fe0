#include "vanilladyke/policy/fleet_retry_budget.hpp"

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/policy/fleet_retry_replay.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId theService("s");

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

// All servers of a service refuse, and every node retries as often as its budget allows. Guards
// against doubling the load of a service that is already overloaded.
TEST(FleetRetryBudget, NodesTogetherStayBelowTheBoundInEveryWindow)
{
    constexpr int Nodes = 6;
    const FleetRetryLimits limits{0.2, 52, std::chrono::seconds(10)};
    std::vector<FleetRetryBudget> nodes(Nodes, FleetRetryBudget(at(-60'000)));
    Random random(7);
    std::vector<int> requests;
    std::vector<int> retries;
    for (auto &node : nodes) {
        node.setLimits(limits);
        node.setNodes(Nodes, at(-60'000));
    }
    for (int ms = 0; ms < 60'000; ++ms) {
        const bool isBurst = ms > 20'000 && ms < 23'000;
        if (uniform(random) < (isBurst ? 0.6 : 0.2)) {
            // The load balancer distributes unevenly: the first node gets half of all requests.
            const std::size_t i = uniform(random) < 0.5 ? 0 : uniformBelow(random, Nodes);
            nodes[i].countRequest(theService, at(ms));
            requests.push_back(ms);
            while (nodes[i].spend(theService, at(ms))) {
                retries.push_back(ms);
            }
        }
    }
    EXPECT_GT(retries.size(), 100U);
    for (int from = 0; from + 10'000 <= 60'000; from += 250) {
        const auto count = [from](const std::vector<int> &times) {
            return std::count_if(times.begin(), times.end(),
                                 [from](int ms) { return ms >= from && ms < from + 10'000; });
        };
        EXPECT_LE(count(retries), 0.2 * count(requests) + 52) << "window from " << from;
    }
}

TEST(FleetRetryBudget, AQuietServiceMayUseTheExtra)
{
    FleetRetryBudget budget(at(-60'000));
    budget.setLimits({0.2, 30, std::chrono::seconds(10)});
    budget.setNodes(3, at(-60'000));
    budget.countRequest(theService, at(0));
    int spent = 0;
    while (budget.spend(theService, at(1))) {
        ++spent;
    }
    EXPECT_EQ(spent, 8); // four fifths of a third of 30, and of a fifth of one request
    EXPECT_TRUE(budget.spend(theService, at(11'000))) << "the window has passed";
}

/// Nodes, requests a second for each of them, and the extra of a deployment.
struct FleetSize
{
    std::size_t nodes;
    double requestsPerSecond;
    double extra;
};

class FleetRetryBudgetSizes : public testing::TestWithParam<FleetSize>
{
protected:
    static constexpr int FaultyFrom = 12'000;

    static bool isFaulty(int ms) { return ms >= FaultyFrom; }
    [[nodiscard]] static RetryReplayTerms terms(std::uint64_t seed)
    {
        RetryReplayTerms result;
        result.limits = {0.2, GetParam().extra, std::chrono::seconds(10)};
        result.nodes = GetParam().nodes;
        result.requestsPerSecond = GetParam().requestsPerSecond;
        result.length = std::chrono::seconds(30);
        result.seed = seed;
        return result;
    }
    /// Callers ask any node.
    static std::size_t anyNode(Random &random) { return uniformBelow(random, GetParam().nodes); }
};

INSTANTIATE_TEST_SUITE_P(Sizes, FleetRetryBudgetSizes,
                         testing::Values(FleetSize{3, 90, 30}, FleetSize{9, 180, 58},
                                         FleetSize{72, 1500, 60}, FleetSize{410, 8000, 60}),
                         [](const auto &size) { return std::to_string(size.param.nodes); });

TEST_P(FleetRetryBudgetSizes, NodesThatKeepRunningStayWithinTheLimitAndUseMostOfIt)
{
    RetryReplay replay(terms(1));
    replay.run([](int, Random &random) { return anyNode(random); }, [](int) {}, isFaulty);
    EXPECT_LE(replay.worstExcess(), 0);
    const double faulty = GetParam().requestsPerSecond * 18;
    EXPECT_GT(static_cast<double>(replay.retries()), 0.2 * faulty / 2);
}

// Processes end while servers fail and others take their places. Each begins with a budget of its
// own, so that the fleet spends a whole one with each start within the same window.
TEST_P(FleetRetryBudgetSizes, ProcessesThatStartAgainDoNotSpendTheBudgetAnew)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        RetryReplay replay(terms(seed));
        Random random(seed);
        const auto step = [&](int ms) {
            const bool isKill = ms >= FaultyFrom && ms % 1500 == 500;
            for (std::size_t i = 0; isKill && i < replay.size(); ++i) {
                if (uniform(random) < 0.25 * static_cast<double>(seed)) {
                    replay.restart(i, ms);
                }
            }
        };
        replay.run([](int, Random &each) { return anyNode(each); }, step, isFaulty);
        EXPECT_LE(replay.worstExcess(), 0) << "seed " << seed;
    }
}

// Callers move to a few nodes while servers fail. What their requests have earned at the nodes that
// they leave, and what they earn at the others, are spent within the same window.
TEST_P(FleetRetryBudgetSizes, CallersThatMoveDoNotBringASecondBudget)
{
    for (const std::size_t crowded : {std::size_t{1}, GetParam().nodes / 3}) {
        RetryReplay replay(terms(2));
        const auto pick = [crowded](int ms, Random &random) {
            return ms < FaultyFrom + 500 ? anyNode(random) : uniformBelow(random, crowded);
        };
        replay.run(
                pick, [](int) {}, isFaulty);
        EXPECT_LE(replay.worstExcess(), 0) << crowded << " nodes";
    }
}

// The number of nodes that a node knows falls for a moment, because the store has lost the list or
// because nodes left for good. Each of them then takes a part for the nodes that have spent theirs.
TEST_P(FleetRetryBudgetSizes, ANumberOfNodesThatFallsDoesNotEnlargeTheirPartsAtOnce)
{
    RetryReplay replay(terms(3));
    const auto step = [&](int ms) {
        const bool isShort = ms >= FaultyFrom + 1000 && ms < FaultyFrom + 1700;
        for (std::size_t i = 0; i < replay.size(); ++i) {
            replay.node(i).setNodes(isShort ? 1 : GetParam().nodes, RetryReplay::at(ms));
        }
    };
    replay.run([](int, Random &random) { return anyNode(random); }, step, isFaulty);
    EXPECT_LE(replay.worstExcess(), 0);
}

} // namespace
} // namespace vanilladyke
