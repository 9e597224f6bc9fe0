#include "vanilladyke/capacity/slope.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(Slope, FitsALineAndTellsHowFarOffTheSamplesAre)
{
    const SlopeFit exact = fitLine({{1, 5}, {2, 7}, {10, 23}});
    EXPECT_NEAR(exact.base, 3, 1e-9);
    EXPECT_NEAR(exact.perUnit, 2, 1e-9);
    EXPECT_NEAR(exact.spread, 0, 1e-9);
    EXPECT_GT(fitLine({{1, 1}, {2, 4}, {3, 9}, {4, 16}}).spread, 0.05);
}

TEST(Slope, CountsTheBytesThatLive)
{
    const double bytes = heapBytes([] { return std::vector<char>(100'000); });
    EXPECT_GE(bytes, 100'000);
    EXPECT_LT(bytes, 120'000);
}

} // namespace
} // namespace vanilladyke
