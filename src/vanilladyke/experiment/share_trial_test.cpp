#include "vanilladyke/experiment/share_trial.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(ShareTrial, GivesTheSameFiguresForTheSameSeed)
{
    const ShareScenario scenario = shareScenarios().front();
    const ShareResult once = runShareTrial<WantingPartRule>(scenario, 7);
    const ShareResult again = runShareTrial<WantingPartRule>(scenario, 7);
    EXPECT_EQ(once.goodput, again.goodput);
    EXPECT_EQ(once.wait99, again.wait99);
}

TEST(ShareTrial, ComputesMaxMinFairParts)
{
    EXPECT_EQ(maxMinParts({10, 1, 10}, 9), (std::vector<double>{4, 1, 4}));
    EXPECT_EQ(maxMinParts({1, 2, 3}, 9), (std::vector<double>{1, 2, 3}));
}

// Load is spread evenly, or half of it comes through one node, or the hot node changes every three
// seconds, below and above capacity. Callers must be served as if one node saw everything.
TEST(ShareTrial, KeptRuleServesNearlyAllThatFitsInTime)
{
    for (const ShareScenario &scenario : shareScenarios()) {
        const ShareResult result = runShareTrial<WantingPartRule>(scenario, 1);
        EXPECT_GE(result.goodput, 0.95) << scenario.name;
        EXPECT_LE(result.late, 0.01) << scenario.name;
    }
}

} // namespace
} // namespace vanilladyke
