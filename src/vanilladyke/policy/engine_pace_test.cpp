#include "vanilladyke/policy/engine_pace.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace vanilladyke {
namespace {

/// Engines with random throughput whose times vary by a quarter, and requests with realistic
/// lengths.
class Deployment
{
public:
    explicit Deployment(std::uint64_t seed)
        : m_random(seed)
        , tokensPerMs(std::exp(std::uniform_real_distribution<double>(2.3, 5.7)(m_random)))
        , fixed(std::uniform_real_distribution<double>(5, 80)(m_random))
    {}

    double length() { return std::exp(std::normal_distribution<double>(7.5, 1.2)(m_random)); }
    double time(double tokens)
    {
        const double noise = std::exp(std::normal_distribution<double>(0, 0.25)(m_random));
        return (fixed + tokens / tokensPerMs) * noise;
    }

private:
    Random m_random;

public:
    double tokensPerMs;
    double fixed;
};

// Guards against using the throughput of one deployment for another whose engines are ten times
// slower, where callers would wait for seconds.
TEST(EnginePace, DeploymentsThatNobodyToldOfAreLearnedWithinAHundredRequests)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Deployment deployment(seed);
        EnginePace pace;
        std::vector<double> errors;
        for (int i = 0; i < 300; ++i) {
            const double tokens = deployment.length();
            const double took = deployment.time(tokens);
            if (i >= 100) {
                errors.push_back(std::abs(pace.predict(tokens).count() - took) / took);
            }
            pace.observed(tokens, Millis(took));
        }
        std::nth_element(errors.begin(), errors.begin() + 100, errors.end());
        EXPECT_LT(errors[100], 0.3) << "seed " << seed;
    }
}

// Guards against invalid samples: a first token before the request, or after an hour.
TEST(EnginePace, WhatIsLearnedStaysWithinBounds)
{
    EnginePace pace;
    for (int i = 0; i < 1000; ++i) {
        pace.observed(i % 7 == 0 ? 0 : 1e9, Millis(i % 3 == 0 ? 3.6e6 : 1e-6));
        pace.observed(std::nan(""), Millis(1));
        pace.observed(100, Millis(-5));
    }
    EXPECT_GE(pace.tokensPerMs(), EnginePace::LeastTokensPerMs);
    EXPECT_LE(pace.tokensPerMs(), EnginePace::MostTokensPerMs);
    EXPECT_GE(pace.predict(0).count(), 0);
}

// One engine takes four times as long for a few seconds and then recovers.
TEST(EngineSlowness, IsNoticedWithinADozenRequestsAndForgotten)
{
    EngineSlowness slowness;
    const TimePoint start(std::chrono::hours(1));
    EXPECT_EQ(slowness.factor(start), 1);
    for (int i = 0; i < 12; ++i) {
        slowness.observed(4, start);
    }
    EXPECT_GT(slowness.factor(start), 3);
    EXPECT_LT(slowness.factor(start + std::chrono::seconds(12)), 1.25);
    slowness.observed(1e9, start);
    EXPECT_LE(slowness.factor(start), EngineSlowness::Most);
}

} // namespace
} // namespace vanilladyke
