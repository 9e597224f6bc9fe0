#include "vanilladyke/base/random.hpp"
#include "vanilladyke/policy/admission.hpp"
#include "vanilladyke/policy/customer_share.hpp"
#include "vanilladyke/policy/fair_queue.hpp"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

/// What one decision under load costs, with many customers and a long queue.
namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Customers = 16'000;
constexpr std::size_t Waiting = 10'000;
constexpr std::uint64_t Seed = 1;

std::vector<CustomerId> makeCustomers()
{
    std::vector<CustomerId> customers;
    for (std::size_t i = 0; i < Customers; ++i) {
        customers.emplace_back("customer-" + std::to_string(i));
    }
    return customers;
}

class JobSource
{
public:
    QueuedJob next()
    {
        const std::uint64_t ticket = ++m_tickets;
        return {QueueTicket{ticket},
                m_customers[uniformBelow(m_random, Customers)],
                1.0,
                static_cast<Priority>(uniformBelow(m_random, 3)),
                milliseconds(1 + uniformBelow(m_random, 3000)),
                TimePoint(seconds(1) + milliseconds(uniformBelow(m_random, 60'000)))};
    }

private:
    std::vector<CustomerId> m_customers = makeCustomers();
    Random m_random{Seed};
    std::uint64_t m_tickets = 0;
};

void queuePushAndPop(benchmark::State &state)
{
    JobSource jobs;
    FairQueue queue(2 * Waiting);
    while (queue.size() < Waiting) {
        static_cast<void>(queue.push(jobs.next()));
    }
    for (auto each : state) {
        static_cast<void>(queue.push(jobs.next()));
        benchmark::DoNotOptimize(queue.pop());
    }
}

void queueOutlook(benchmark::State &state)
{
    JobSource jobs;
    FairQueue queue(2 * Waiting);
    while (queue.size() < Waiting) {
        static_cast<void>(queue.push(jobs.next()));
    }
    for (auto each : state) {
        benchmark::DoNotOptimize(queue.backlogPerJob());
    }
}

/// A decision to wait, and the start of another that waits.
void admissionDecideAndStart(benchmark::State &state)
{
    JobSource jobs;
    Admission admission(2 * Waiting);
    const TimePoint now(seconds(1));
    static_cast<void>(admission.setSlots(1, now));
    const auto decide = [&] {
        const QueuedJob job = jobs.next();
        benchmark::DoNotOptimize(
                admission.decide({job.ticket, job.customer, job.weight, job.priority,
                                  milliseconds(1), milliseconds(1), TimePoint(seconds(1'000'000))},
                                 now));
    };
    while (admission.waiting() < Waiting) {
        decide();
    }
    static_cast<void>(admission.setSlots(1'000'000'000, now));
    for (auto each : state) {
        decide();
        benchmark::DoNotOptimize(admission.startNext(now));
    }
}

/// A decision to refuse, with its return time, among as many returns as are kept.
void admissionRefuse(benchmark::State &state)
{
    JobSource jobs;
    Admission admission(2 * Waiting);
    const TimePoint now(seconds(1));
    static_cast<void>(admission.setSlots(1, now));
    for (auto each : state) {
        const QueuedJob job = jobs.next();
        benchmark::DoNotOptimize(
                admission.decide({job.ticket, job.customer, job.weight, job.priority, seconds(1),
                                  milliseconds(1), now + milliseconds(500)},
                                 now));
    }
}

void customerLimit(benchmark::State &state)
{
    constexpr std::size_t Peers = 20;
    const std::vector<CustomerId> ids = makeCustomers();
    CustomerLimiter limiter;
    Random random(Seed);
    TimePoint now(seconds(1));
    for (std::size_t peer = 0; peer < Peers; ++peer) {
        std::vector<CustomerDemand> demand;
        for (std::size_t i = 0; i < MostToldDemands; ++i) {
            demand.push_back({ids[uniformBelow(random, Customers)], 100});
        }
        limiter.recordPeerDemand(NodeId(std::to_string(peer)), demand, now);
    }
    Customer customer;
    customer.tokensPerSecond = 1000;
    for (auto each : state) {
        customer.id = ids[uniformBelow(random, Customers)];
        benchmark::DoNotOptimize(limiter.take(customer, 100, 410, now));
    }
}

BENCHMARK(queuePushAndPop);
BENCHMARK(queueOutlook);
BENCHMARK(admissionDecideAndStart);
BENCHMARK(admissionRefuse);
BENCHMARK(customerLimit);

} // namespace
} // namespace vanilladyke

BENCHMARK_MAIN();
