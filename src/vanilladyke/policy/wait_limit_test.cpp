#include "vanilladyke/policy/wait_limit.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <random>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Target{800};
constexpr milliseconds CallerTimeout{3200};

struct Outcome
{
    int inTarget = 0;
    int late = 0;
    int abandoned = 0; ///< callers without an answer at their deadlines
    int refused = 0;   ///< refused twice; they do not retry again
};

/// Callers that retry once at the given time, and an engine that prefills one prompt after the
/// other.
Outcome replay(double load, double maxFraction, std::uint64_t seed)
{
    constexpr double ReadMs = 100;
    constexpr int RunMs = 20'000;
    struct Arrival
    {
        double at = 0;
        double first = 0; ///< time of the first attempt
        bool isSecond = false;
        bool operator>(const Arrival &other) const { return at > other.at; }
    };
    Random random(seed);
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
    std::exponential_distribution<double> gap(load / ReadMs);
    for (double at = gap(random); at < RunMs; at += gap(random)) {
        arrivals.push({at, at, false});
    }
    const TimePoint start(std::chrono::hours(1));
    const auto pointAt = [start](double ms) {
        return start + std::chrono::duration_cast<Duration>(Millis(ms));
    };
    Outcome outcome;
    double freeAt = 0;
    while (!arrivals.empty()) {
        const Arrival now = arrivals.top();
        arrivals.pop();
        const Millis predictedWait(std::max(0.0, freeAt - now.at));
        const WaitLimits limits{Target, pointAt(now.at) + CallerTimeout, maxFraction};
        if (const auto until = refusedUntil(limits, predictedWait, pointAt(now.at))) {
            if (now.isSecond) {
                ++outcome.refused;
            } else {
                arrivals.push({Millis(*until - start).count(), now.first, true});
            }
            continue;
        }
        freeAt = std::max(freeAt, now.at) + ReadMs;
        const double took = freeAt - now.first;
        outcome.inTarget += took <= Target.count() ? 1 : 0;
        outcome.late += took > Target.count() && freeAt - now.at <= CallerTimeout.count() ? 1 : 0;
        outcome.abandoned += freeAt - now.at > CallerTimeout.count() ? 1 : 0;
    }
    return outcome;
}

constexpr double NoLimit = 1e9;

// The load is one and a half times the engine's capacity. Guards against a queue that grows until
// every caller waits until its deadline.
TEST(WaitLimit, UnderOverloadTheSentRequestsAreInTime)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Outcome sentOn = replay(1.5, NoLimit, seed);
        const Outcome limited = replay(1.5, 0.5, seed);
        EXPECT_GT(limited.inTarget, 3 * sentOn.inTarget) << seed;
        EXPECT_GT(limited.inTarget + limited.late, 0.9 * 200)
                << "the engine is idle, seed " << seed;
        EXPECT_EQ(limited.abandoned, 0) << seed;
    }
}

// At seven tenths of the capacity a few requests occasionally coincide. At most one caller in fifty
// may be refused twice.
TEST(WaitLimit, AtUsualLoadFewCallersAreRefusedTwice)
{
    int refused = 0;
    int served = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Outcome outcome = replay(0.7, 0.5, seed);
        refused += outcome.refused;
        served += outcome.inTarget + outcome.late;
    }
    EXPECT_LT(50 * refused, served);
}

// The prefill of a prompt of fifty thousand tokens exceeds its target. Without a backlog ahead it
// is still served.
TEST(WaitLimit, ThePrefillOfThePromptItselfIsNoReasonToRefuse)
{
    const TimePoint now(std::chrono::hours(1));
    EXPECT_FALSE(refusedUntil({Target, now + CallerTimeout, 0.5}, Millis(0), now));
    EXPECT_TRUE(refusedUntil({Target, now + milliseconds(50), 0.5}, Millis(100), now));
}

// The retry time given to a refused caller is not before the wait is within the limit.
TEST(WaitLimit, TheRetryTimeFollowsFromTheWait)
{
    const TimePoint now(std::chrono::hours(1));
    const auto until = refusedUntil({Target, now + CallerTimeout, 0.5}, Millis(1000), now);
    ASSERT_TRUE(until);
    EXPECT_EQ(*until, now + milliseconds(800));
}

} // namespace
} // namespace vanilladyke
