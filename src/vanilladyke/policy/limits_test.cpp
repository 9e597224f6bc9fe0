#include "vanilladyke/policy/customer_share.hpp"
#include "vanilladyke/policy/retry_budget.hpp"
#include "vanilladyke/policy/token_bucket.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

Customer limited(double perSecond, double burst)
{
    Customer customer;
    customer.id = CustomerId("brand");
    customer.tokensPerSecond = perSecond;
    customer.burstTokens = burst;
    return customer;
}

RC_GTEST_PROP(TokenBucket, GrantsAtMostRateAndBurstAndPredictsAvailability, ())
{
    const double rate = *rc::gen::inRange(1, 1000);
    const double burst = *rc::gen::inRange(1, 1000);
    TokenBucket bucket(rate, burst, Start);
    TimePoint now = Start;
    double taken = 0;
    double largest = burst; // a demand above the burst leaves a negative level
    for (int i = 0; i < 200; ++i) {
        const double amount = *rc::gen::inRange(1, 500);
        largest = std::max(largest, amount);
        now += milliseconds(*rc::gen::inRange(0, 100));
        if (bucket.take(amount, now)) {
            taken += amount;
        } else if (*rc::gen::inRange(0, 2) == 0) {
            now = bucket.availableAt(amount, now);
            RC_ASSERT(bucket.take(amount, now));
            taken += amount;
        }
        const double passed = secondsOf(now - Start);
        RC_ASSERT(taken <= rate * passed + largest + 1);
    }
}

// A customer sends ten times its limit and retries at the given times. If the times were computed
// independently, all callers would retry at the same moment and be refused again.
TEST(CustomerLimiter, AdmitsEveryRetryAtItsReservedTime)
{
    CustomerLimiter limiter;
    const Customer customer = limited(100, 100);
    std::vector<TimePoint> returns;
    for (int i = 0; i < 20; ++i) {
        const auto taken = limiter.take(customer, 50, 1, Start);
        if (!taken) {
            returns.push_back(taken.error());
        }
    }
    ASSERT_EQ(returns.size(), 18U);
    for (const TimePoint at : returns) {
        EXPECT_TRUE(limiter.take(customer, 50, 1, at).has_value());
    }
    EXPECT_GE(returns.back() - returns.front(), seconds(8));
}

// All connections of a customer reach one of four nodes. A fixed quarter of the limit would refuse
// three quarters of what the customer pays for.
TEST(CustomerLimiter, FollowsDemandToTheNodeThatSeesIt)
{
    CustomerLimiter busy;
    CustomerLimiter idle;
    const Customer customer = limited(100, 100);
    TimePoint now = Start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(50);
        static_cast<void>(busy.take(customer, 10, 4, now));
        for (const char *peer : {"b", "c", "d"}) {
            busy.recordPeerDemand(NodeId(peer), idle.ownDemand(now), now);
        }
        idle.recordPeerDemand(NodeId("a"), busy.ownDemand(now), now);
    }
    EXPECT_GE(busy.share(customer.id, 4, now), 0.9);
    EXPECT_LE(idle.share(customer.id, 4, now), 0.1);
    EXPECT_GT(idle.share(customer.id, 4, now), 0);
}

// A peer crashes or is partitioned after reporting a large demand. If the report were valid for
// ever, the customer would keep only a small share of its limit.
TEST(CustomerLimiter, DropsReportsOfAnUnresponsivePeer)
{
    CustomerLimiter limiter;
    limiter.recordPeerDemand(NodeId("b"), {{CustomerId("brand"), 1000}}, Start);
    const Customer customer = limited(100, 100);
    static_cast<void>(limiter.take(customer, 10, 2, Start));
    EXPECT_LT(limiter.share(customer.id, 2, Start), 0.2);
    EXPECT_NEAR(limiter.share(customer.id, 1, Start + seconds(6)), 1.0, 1e-9);
}

RC_GTEST_PROP(DemandShare, AddsUpToTheLimitWhenAllPeersHaveReported, ())
{
    const auto demand =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    const auto nodes = static_cast<std::uint32_t>(demand.size());
    double shares = 0;
    for (const int own : demand) {
        shares += demandShare(own, total - own, nodes - 1, nodes);
    }
    RC_ASSERT(std::abs(shares - 1.0) < 1e-9);
}

RC_GTEST_PROP(RetryBudget, IsNeverExceeded, ())
{
    const double fraction = *rc::gen::inRange(0, 100) / 100.0;
    const double saved = *rc::gen::inRange(0, 300);
    const auto steps = *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
    RetryBudgets budgets;
    double tries = 0;
    double retries = 0;
    TimePoint now = Start;
    for (const bool retry : steps) {
        now += milliseconds(10);
        if (retry && budgets.spend(ModelId("copy"), CustomerId("brand"))) {
            ++retries;
        } else {
            budgets.countFirstTry(ModelId("copy"), CustomerId("brand"), {fraction, saved}, now);
            ++tries;
        }
        RC_ASSERT(retries <= RetryBudget::FirstRetries + fraction * tries + 1e-6);
    }
}

// An engine with many slots crashes and all its requests fail at once, while the other engines have
// room. With a cap of eight retries, most of these requests would be refused.
TEST(RetryBudget, AccumulatesEnoughForTheLossOfTheLargestEngine)
{
    Fleet fleet;
    auto bundle = std::make_shared<Bundle>();
    bundle->limits.retryFraction = 0.5;
    fleet.bundle = bundle;
    fleet.engines.resize(2);
    fleet.engines[1].slots = 64;
    fleet.index = indexEngines(fleet.engines, nullptr);
    RetryBudgets budgets;
    for (int i = 0; i < 200; ++i) {
        budgets.countFirstTry(ModelId("copy"), CustomerId("brand"), retryTerms(fleet), Start);
    }
    int spent = 0;
    while (budgets.spend(ModelId("copy"), CustomerId("brand"))) {
        ++spent;
    }
    EXPECT_EQ(spent, 64);
}

// All requests of one customer fail. Its retries must not use up the budget that another customer
// needs when an engine fails.
TEST(RetryBudget, KeepsTheBudgetsOfCustomersApart)
{
    RetryBudgets budgets;
    for (int i = 0; i < 100; ++i) {
        budgets.countFirstTry(ModelId("copy"), CustomerId("good"), {0.1, 10}, Start);
        budgets.countFirstTry(ModelId("copy"), CustomerId("bad"), {0.1, 10}, Start);
    }
    int spent = 0;
    while (budgets.spend(ModelId("copy"), CustomerId("bad"))) {
        ++spent;
    }
    EXPECT_LE(spent, 10);
    budgets.countFirstTry(ModelId("other"), CustomerId("good"), {0.1, 10}, Start);
    EXPECT_TRUE(budgets.spend(ModelId("other"), CustomerId("good")));
    EXPECT_TRUE(budgets.availableAt(ModelId("copy"), CustomerId("bad"), Start).has_value());
}

} // namespace
} // namespace vanilladyke
