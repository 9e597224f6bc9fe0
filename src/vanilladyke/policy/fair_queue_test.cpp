#include "vanilladyke/policy/fair_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

struct JobMaker
{
    std::uint64_t next = 1;

    QueuedJob operator()(const std::string &customer, int costMillis, double weight = 1.0,
                         Priority priority = Priority::Normal,
                         TimePoint latestStart = TimePoint(std::chrono::hours(1)))
    {
        return {QueueTicket{next++},      CustomerId(customer), weight, priority,
                milliseconds(costMillis), latestStart};
    }
};

// A customer sends a hundred requests before a small one sends its first. With first come, first
// served, the small one would wait behind all hundred.
TEST(FairQueue, ServesASmallCustomerBesideAHotOne)
{
    FairQueue queue(1000);
    JobMaker job;
    for (int i = 0; i < 100; ++i) {
        ASSERT_TRUE(queue.push(job("hot", 100)));
    }
    ASSERT_TRUE(queue.push(job("small", 100)));
    int before = 0;
    while (queue.pop()->customer.str() != "small") {
        ++before;
    }
    EXPECT_LE(before, 1);
}

// Two customers of the same weight send long drafts and short checks. If jobs were charged by
// number instead of cost, each draft would delay the checks by ten turns.
TEST(FairQueue, ChargesLongJobsSoThatShortOnesPass)
{
    FairQueue queue(1000);
    JobMaker job;
    for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(queue.push(job("drafts", 1000)));
        ASSERT_TRUE(queue.push(job("checks", 100)));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 11; ++i) {
        ++served[queue.pop()->customer.str()];
    }
    EXPECT_GE(served["checks"], 9);
    EXPECT_GE(served["drafts"], 1);
}

TEST(FairQueue, ServesTheEarliestDeadlineOfACustomerFirst)
{
    FairQueue queue(10);
    JobMaker job;
    ASSERT_TRUE(queue.push(job("a", 10, 1, Priority::Normal, TimePoint(milliseconds(900)))));
    ASSERT_TRUE(queue.push(job("a", 10, 1, Priority::Normal, TimePoint(milliseconds(300)))));
    EXPECT_EQ(queue.pop()->latestStart, TimePoint(milliseconds(300)));
}

// Urgent work alone could fill the engines for hours. Bulk work of another customer would never be
// served and would time out.
TEST(FairQueue, LetsNoPriorityClassStarve)
{
    FairQueue queue(10'000);
    JobMaker job;
    for (int i = 0; i < 400; ++i) {
        ASSERT_TRUE(queue.push(job("u", 100, 1, Priority::Urgent)));
        ASSERT_TRUE(queue.push(job("n", 100, 1, Priority::Normal)));
        ASSERT_TRUE(queue.push(job("b", 100, 1, Priority::Bulk)));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 400; ++i) {
        ++served[queue.pop()->customer.str()];
    }
    EXPECT_GE(served["n"], 30);
    EXPECT_GE(served["b"], 30);
    EXPECT_GE(served["u"], 300);
}

// A hot customer fills the queue. A later customer must still find room, or its requests would be
// refused although it has not used its share of the engines.
TEST(FairQueue, KeepsRoomForACustomerThatComesLater)
{
    FairQueue queue(100);
    JobMaker job;
    int taken = 0;
    while (queue.push(job("hot", 100))) {
        ++taken;
    }
    EXPECT_EQ(taken, 50);
    EXPECT_TRUE(queue.push(job("small", 100)));
}

TEST(FairQueue, ExpiresOnlyJobsThatCannotStartInTime)
{
    FairQueue queue(10);
    JobMaker job;
    ASSERT_TRUE(queue.push(job("a", 10, 1, Priority::Normal, TimePoint(milliseconds(100)))));
    ASSERT_TRUE(queue.push(job("a", 10, 1, Priority::Normal, TimePoint(milliseconds(200)))));
    EXPECT_EQ(queue.expire(TimePoint(milliseconds(150))).size(), 1U);
    EXPECT_EQ(queue.size(), 1U);
    EXPECT_EQ(queue.work(), milliseconds(10));
}

RC_GTEST_PROP(FairQueue, SharesByWeightWithinOneJobAndOneTurn, ())
{
    const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 6));
    const auto costs = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(10, 2000));
    FairQueue queue(1'000'000);
    JobMaker job;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        for (int n = 0; n < 12'000 / costs[i] + 10; ++n) {
            RC_ASSERT(queue.push(job(std::to_string(i), costs[i], weights[i])));
        }
    }
    std::vector<double> work(weights.size());
    for (double total = 0; total < 10'000;) {
        const auto next = queue.pop();
        const auto cost = std::chrono::duration<double, std::milli>(next->cost).count();
        work[std::stoul(next->customer.str())] += cost;
        total += cost;
    }
    for (std::size_t i = 0; i < work.size(); ++i) {
        for (std::size_t j = 0; j < work.size(); ++j) {
            const double bound = (costs[i] + 100.0 * weights[i]) / weights[i]
                                 + (costs[j] + 100.0 * weights[j]) / weights[j];
            RC_ASSERT(work[i] / weights[i] - work[j] / weights[j] <= bound + 1e-6);
        }
    }
}

RC_GTEST_PROP(FairQueue, ServesEveryJobOnceInAnyMixOfSteps, ())
{
    FairQueue queue(200);
    JobMaker make;
    std::map<std::uint64_t, bool> waiting;
    const auto leave = [&](const QueuedJob &job) {
        RC_ASSERT(waiting.erase(static_cast<std::uint64_t>(job.ticket)) == 1U);
    };
    const int steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
        const int step = *rc::gen::inRange(0, 6);
        if (step < 3) {
            const auto customer = std::to_string(*rc::gen::inRange(0, 5));
            const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
            const TimePoint latest(milliseconds(*rc::gen::inRange(0, 1000)));
            const QueuedJob job = make(customer, *rc::gen::inRange(1, 3000), 1, priority, latest);
            if (queue.push(job)) {
                waiting[static_cast<std::uint64_t>(job.ticket)] = true;
            }
        } else if (step == 3) {
            if (const auto job = queue.pop()) {
                leave(*job);
            }
        } else if (step == 4) {
            const TimePoint now(milliseconds(*rc::gen::inRange(0, 1000)));
            for (const QueuedJob &job : queue.expire(now)) {
                RC_ASSERT(job.latestStart < now);
                leave(job);
            }
        } else if (!waiting.empty()) {
            RC_ASSERT(queue.remove(QueueTicket{waiting.begin()->first}));
            waiting.erase(waiting.begin());
        }
        RC_ASSERT(queue.size() == waiting.size());
    }
    while (const auto job = queue.pop()) {
        leave(*job);
    }
    RC_ASSERT(waiting.empty());
    RC_ASSERT(queue.work() == Duration(0));
}

} // namespace
} // namespace vanilladyke
