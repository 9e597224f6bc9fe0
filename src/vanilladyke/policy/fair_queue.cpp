#include "vanilladyke/policy/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

std::size_t classOf(const QueuedJob &job)
{
    return static_cast<std::size_t>(job.priority);
}

/// Number of rounds until a deficit of this size is filled.
std::uint64_t roundsFor(Duration missing, Duration perRound)
{
    if (missing <= Duration(0)) {
        return 0;
    }
    return static_cast<std::uint64_t>((missing + perRound - Duration(1)) / perRound);
}

Duration quantumOf(double weight)
{
    return std::max(Duration(1), spanOfSeconds(weight * secondsOf(FairQueue::Quantum)));
}

} // namespace

bool FairQueue::push(const QueuedJob &job)
{
    PriorityClass &priorityClass = m_classes.at(classOf(job));
    const auto found = priorityClass.customers.find(job.customer);
    const std::size_t own = found == priorityClass.customers.end() ? 0 : found->second.jobs.size();
    const std::size_t room = m_capacity - m_jobs.size();
    if (own >= room) {
        return false;
    }
    m_jobs.emplace(job.ticket, job);
    m_deadlines.insert({job.latestStart, job.ticket});
    const auto [entry, isNew] = priorityClass.customers.try_emplace(job.customer);
    CustomerQueue &queue = entry->second;
    if (isNew) {
        queue.weight = job.weight;
        queue.roundAt = priorityClass.round;
        priorityClass.weight += job.weight;
    }
    queue.jobs.insert({job.latestStart, job.ticket});
    queue.work += job.cost;
    priorityClass.work += job.cost;
    schedule(priorityClass, job.customer, queue);
    return true;
}

std::optional<QueuedJob> FairQueue::pop()
{
    const std::optional<std::size_t> next = nextClass();
    if (!next) {
        return std::nullopt;
    }
    PriorityClass &priorityClass = m_classes.at(*next);
    const Turn turn = *priorityClass.turns.begin();
    CustomerQueue &queue = priorityClass.customers.at(turn.customer);
    priorityClass.round = std::max(priorityClass.round, turn.round);
    const QueuedJob job = headOf(queue);
    queue.deficit += static_cast<std::int64_t>(priorityClass.round - queue.roundAt)
                     * quantumOf(queue.weight);
    queue.deficit -= job.cost;
    queue.roundAt = priorityClass.round;
    priorityClass.turns.erase(turn);
    queue.turnOrder = 0;
    charge(*next, job.cost);
    return removeJob(job.ticket);
}

bool FairQueue::remove(QueueTicket ticket)
{
    if (!m_jobs.contains(ticket)) {
        return false;
    }
    removeJob(ticket);
    return true;
}

std::vector<QueuedJob> FairQueue::expire(TimePoint now)
{
    std::vector<QueuedJob> late;
    while (!m_deadlines.empty() && m_deadlines.begin()->latestStart < now) {
        late.push_back(removeJob(m_deadlines.begin()->ticket));
    }
    return late;
}

Duration FairQueue::backlogAhead(const QueuedJob &job, const ExpectedWork &expected) const
{
    const PriorityClass &priorityClass = m_classes.at(classOf(job));
    const auto found = priorityClass.customers.find(job.customer);
    const Duration waiting =
            found == priorityClass.customers.end() ? Duration(0) : found->second.work;
    const Duration own = waiting + expected.ofCustomer;
    return addOtherClasses(job,
                           fairWork(priorityClass, job, own, priorityClass.work + expected.ofAll));
}

/// Weighted fair share of the class served before the job: while the customer's own work and this
/// job are served, every other customer of the class gets at most as much in proportion to its
/// weight, and no customer gets more than it has queued.
Duration FairQueue::fairWork(const PriorityClass &priorityClass, const QueuedJob &job, Duration own,
                             Duration all)
{
    const bool present = priorityClass.customers.contains(job.customer);
    const double weights = priorityClass.weight + (present ? 0 : job.weight);
    const double share = secondsOf(own + job.cost) * weights / job.weight;
    return std::min(all, spanOfSeconds(share) - job.cost);
}

Duration FairQueue::addOtherClasses(const QueuedJob &job, Duration ahead) const
{
    Duration above{};
    double lowerWaiting = 0;
    for (std::size_t i = 0; i < Classes; ++i) {
        if (i < classOf(job)) {
            above += m_classes.at(i).work;
        } else if (i > classOf(job) && !m_classes.at(i).customers.empty()) {
            lowerWaiting += 1;
        }
    }
    const Duration untilFloor = spanOfSeconds(secondsOf(ahead + job.cost) / FloorShare);
    const Duration before = ahead + std::min(above, untilFloor);
    return spanOfSeconds(secondsOf(before) * (1 + lowerWaiting * FloorShare));
}

std::vector<std::pair<QueuedJob, Duration>> FairQueue::backlogPerJob() const
{
    std::vector<std::pair<QueuedJob, Duration>> all;
    all.reserve(m_jobs.size());
    for (const PriorityClass &priorityClass : m_classes) {
        for (const auto &[customer, queue] : priorityClass.customers) {
            Duration own{};
            for (const ByDeadline &entry : queue.jobs) {
                const QueuedJob &job = m_jobs.at(entry.ticket);
                const Duration others = priorityClass.work - queue.work;
                const Duration ahead = fairWork(priorityClass, job, own, own + others);
                all.emplace_back(job, addOtherClasses(job, ahead));
                own += job.cost;
            }
        }
    }
    return all;
}

std::optional<TimePoint> FairQueue::firstLatestStart() const
{
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    return m_deadlines.begin()->latestStart;
}

Duration FairQueue::work() const
{
    Duration sum{};
    for (const PriorityClass &priorityClass : m_classes) {
        sum += priorityClass.work;
    }
    return sum;
}

std::optional<std::size_t> FairQueue::nextClass() const
{
    std::optional<std::size_t> first;
    for (std::size_t i = Classes; i-- > 0;) {
        const PriorityClass &priorityClass = m_classes.at(i);
        if (priorityClass.turns.empty()) {
            continue;
        }
        first = i;
        const CustomerQueue &queue =
                priorityClass.customers.at(priorityClass.turns.begin()->customer);
        if (priorityClass.credit >= secondsOf(headOf(queue).cost)) {
            return i;
        }
    }
    return first;
}

const QueuedJob &FairQueue::headOf(const CustomerQueue &queue) const
{
    return m_jobs.at(queue.jobs.begin()->ticket);
}

void FairQueue::schedule(PriorityClass &priorityClass, const CustomerId &customer,
                         CustomerQueue &queue)
{
    const Duration missing = headOf(queue).cost - queue.deficit;
    const std::uint64_t affordable = queue.roundAt + roundsFor(missing, quantumOf(queue.weight));
    const std::uint64_t round = std::max(priorityClass.round, affordable);
    if (queue.turnOrder != 0) {
        if (queue.turnRound == round) {
            return;
        }
        priorityClass.turns.erase({queue.turnRound, queue.turnOrder, customer});
    }
    queue.turnRound = round;
    queue.turnOrder = ++m_order;
    priorityClass.turns.insert({queue.turnRound, queue.turnOrder, customer});
}

void FairQueue::charge(std::size_t served, Duration cost)
{
    for (std::size_t i = 0; i < Classes; ++i) {
        PriorityClass &priorityClass = m_classes.at(i);
        if (i == served) {
            priorityClass.credit = std::max(0.0, priorityClass.credit - secondsOf(cost));
        } else if (!priorityClass.customers.empty()) {
            priorityClass.credit += FloorShare * secondsOf(cost);
        }
    }
}

QueuedJob FairQueue::removeJob(QueueTicket ticket)
{
    const auto found = m_jobs.find(ticket);
    QueuedJob job = found->second;
    PriorityClass &priorityClass = m_classes.at(classOf(job));
    const auto entry = priorityClass.customers.find(job.customer);
    CustomerQueue &queue = entry->second;
    m_jobs.erase(found);
    m_deadlines.erase({job.latestStart, ticket});
    queue.jobs.erase({job.latestStart, ticket});
    queue.work -= job.cost;
    priorityClass.work -= job.cost;
    if (!queue.jobs.empty()) {
        schedule(priorityClass, job.customer, queue);
        return job;
    }
    if (queue.turnOrder != 0) {
        priorityClass.turns.erase({queue.turnRound, queue.turnOrder, job.customer});
    }
    priorityClass.weight -= queue.weight;
    priorityClass.customers.erase(entry);
    if (priorityClass.customers.empty()) {
        priorityClass.weight = 0; // prevents accumulated rounding errors
        priorityClass.credit = 0;
    }
    return job;
}

} // namespace vanilladyke
