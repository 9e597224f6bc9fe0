#include "vanilladyke/policy/fleet_retry_budget.hpp"

#include "vanilladyke/base/random.hpp"

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
    std::vector<FleetRetryBudget> nodes(Nodes);
    Random random(7);
    std::vector<int> requests;
    std::vector<int> retries;
    for (auto &node : nodes) {
        node.setLimits(limits);
        node.setNodes(Nodes);
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
    FleetRetryBudget budget;
    budget.setLimits({0.2, 30, std::chrono::seconds(10)});
    budget.setNodes(3);
    budget.countRequest(theService, at(0));
    int spent = 0;
    while (budget.spend(theService, at(1))) {
        ++spent;
    }
    EXPECT_EQ(spent, 8); // four fifths of a third of 30, and of a fifth of one request
    EXPECT_TRUE(budget.spend(theService, at(11'000))) << "the window has passed";
}

} // namespace
} // namespace vanilladyke
