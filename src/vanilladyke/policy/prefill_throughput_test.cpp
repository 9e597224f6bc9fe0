#include "vanilladyke/policy/prefill_throughput.hpp"

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
TEST(PrefillThroughput, UnknownDeploymentsAreLearnedWithinAHundredRequests)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Deployment deployment(seed);
        PrefillThroughput throughput;
        std::vector<double> errors;
        for (int i = 0; i < 300; ++i) {
            const double tokens = deployment.length();
            const double took = deployment.time(tokens);
            if (i >= 100) {
                errors.push_back(std::abs(throughput.predict(tokens).count() - took) / took);
            }
            throughput.observed(tokens, Millis(took));
        }
        std::nth_element(errors.begin(), errors.begin() + 100, errors.end());
        EXPECT_LT(errors[100], 0.3) << "seed " << seed;
    }
}

// Guards against invalid samples: a first token before the request, or after an hour.
TEST(PrefillThroughput, TheLearnedValueStaysWithinBounds)
{
    PrefillThroughput throughput;
    for (int i = 0; i < 1000; ++i) {
        throughput.observed(i % 7 == 0 ? 0 : 1e9, Millis(i % 3 == 0 ? 3.6e6 : 1e-6));
        throughput.observed(std::nan(""), Millis(1));
        throughput.observed(100, Millis(-5));
    }
    EXPECT_GE(throughput.tokensPerMs(), PrefillThroughput::MinTokensPerMs);
    EXPECT_LE(throughput.tokensPerMs(), PrefillThroughput::MaxTokensPerMs);
    EXPECT_GE(throughput.predict(0).count(), 0);
}

// One engine takes four times as long for a few seconds and then recovers.
TEST(EngineSlowdown, IsDetectedWithinADozenRequestsAndDecays)
{
    EngineSlowdown slowdown;
    const TimePoint start(std::chrono::hours(1));
    EXPECT_EQ(slowdown.factor(start), 1);
    for (int i = 0; i < 12; ++i) {
        slowdown.observed(4, start);
    }
    EXPECT_GT(slowdown.factor(start), 3);
    EXPECT_LT(slowdown.factor(start + std::chrono::seconds(12)), 1.25);
    slowdown.observed(1e9, start);
    EXPECT_LE(slowdown.factor(start), EngineSlowdown::Max);
}

} // namespace
} // namespace vanilladyke
