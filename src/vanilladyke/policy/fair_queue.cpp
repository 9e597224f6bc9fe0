#include "vanilladyke/policy/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

std::size_t classOf(const QueuedJob &job)
{
    return static_cast<std::size_t>(job.priority);
}

/// Rounds until so much may be spent.
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
    PriorityClass &of = m_classes.at(classOf(job));
    const auto found = of.lines.find(job.customer);
    const std::size_t own = found == of.lines.end() ? 0 : found->second.jobs.size();
    const std::size_t room = m_capacity - m_jobs.size();
    if (own >= room) {
        return false;
    }
    m_jobs.emplace(job.ticket, job);
    m_deadlines.insert({job.latestStart, job.ticket});
    const auto [entry, isNew] = of.lines.try_emplace(job.customer);
    Line &line = entry->second;
    if (isNew) {
        line.weight = job.weight;
        line.roundAt = of.round;
        of.weight += job.weight;
    }
    line.jobs.insert({job.latestStart, job.ticket});
    line.work += job.cost;
    of.work += job.cost;
    schedule(of, job.customer, line);
    return true;
}

std::optional<QueuedJob> FairQueue::pop()
{
    const std::optional<std::size_t> next = nextClass();
    if (!next) {
        return std::nullopt;
    }
    PriorityClass &of = m_classes.at(*next);
    const Turn turn = *of.turns.begin();
    Line &line = of.lines.at(turn.customer);
    of.round = std::max(of.round, turn.round);
    const QueuedJob job = headOf(line);
    line.deficit += static_cast<std::int64_t>(of.round - line.roundAt) * quantumOf(line.weight);
    line.deficit -= job.cost;
    line.roundAt = of.round;
    of.turns.erase(turn);
    line.turnOrder = 0;
    charge(*next, job.cost);
    return takeOut(job.ticket);
}

bool FairQueue::remove(QueueTicket ticket)
{
    if (!m_jobs.contains(ticket)) {
        return false;
    }
    takeOut(ticket);
    return true;
}

std::vector<QueuedJob> FairQueue::expire(TimePoint now)
{
    std::vector<QueuedJob> late;
    while (!m_deadlines.empty() && m_deadlines.begin()->latestStart < now) {
        late.push_back(takeOut(m_deadlines.begin()->ticket));
    }
    return late;
}

Duration FairQueue::workAhead(const QueuedJob &job, const ExpectedWork &expected) const
{
    const PriorityClass &of = m_classes.at(classOf(job));
    const auto found = of.lines.find(job.customer);
    const Duration waiting = found == of.lines.end() ? Duration(0) : found->second.work;
    const Duration own = waiting + expected.ofCustomer;
    return withOtherClasses(job, fairWork(of, job, own, of.work + expected.ofAll));
}

/// While the customer's own work and this job are served, every other customer of the class gets
/// at most as much by weight; and none gets more than it has.
Duration FairQueue::fairWork(const PriorityClass &of, const QueuedJob &job, Duration own,
                             Duration all)
{
    const bool present = of.lines.contains(job.customer);
    const double weights = of.weight + (present ? 0 : job.weight);
    const double share = secondsOf(own + job.cost) * weights / job.weight;
    return std::min(all, spanOfSeconds(share) - job.cost);
}

Duration FairQueue::withOtherClasses(const QueuedJob &job, Duration ahead) const
{
    Duration above{};
    double lowerWaiting = 0;
    for (std::size_t i = 0; i < Classes; ++i) {
        if (i < classOf(job)) {
            above += m_classes.at(i).work;
        } else if (i > classOf(job) && !m_classes.at(i).lines.empty()) {
            lowerWaiting += 1;
        }
    }
    const Duration untilFloor = spanOfSeconds(secondsOf(ahead + job.cost) / FloorShare);
    const Duration before = ahead + std::min(above, untilFloor);
    return spanOfSeconds(secondsOf(before) * (1 + lowerWaiting * FloorShare));
}

std::vector<std::pair<QueuedJob, Duration>> FairQueue::outlook() const
{
    std::vector<std::pair<QueuedJob, Duration>> all;
    all.reserve(m_jobs.size());
    for (const PriorityClass &of : m_classes) {
        for (const auto &[customer, line] : of.lines) {
            Duration own{};
            for (const ByDeadline &entry : line.jobs) {
                const QueuedJob &job = m_jobs.at(entry.ticket);
                const Duration others = of.work - line.work;
                const Duration ahead = fairWork(of, job, own, own + others);
                all.emplace_back(job, withOtherClasses(job, ahead));
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
    for (const PriorityClass &of : m_classes) {
        sum += of.work;
    }
    return sum;
}

std::optional<std::size_t> FairQueue::nextClass() const
{
    std::optional<std::size_t> first;
    for (std::size_t i = Classes; i-- > 0;) {
        const PriorityClass &of = m_classes.at(i);
        if (of.turns.empty()) {
            continue;
        }
        first = i;
        const Line &line = of.lines.at(of.turns.begin()->customer);
        if (of.owed >= secondsOf(headOf(line).cost)) {
            return i;
        }
    }
    return first;
}

const QueuedJob &FairQueue::headOf(const Line &line) const
{
    return m_jobs.at(line.jobs.begin()->ticket);
}

void FairQueue::schedule(PriorityClass &of, const CustomerId &customer, Line &line)
{
    const Duration missing = headOf(line).cost - line.deficit;
    const std::uint64_t affordable = line.roundAt + roundsFor(missing, quantumOf(line.weight));
    const std::uint64_t round = std::max(of.round, affordable);
    if (line.turnOrder != 0) {
        if (line.turnRound == round) {
            return;
        }
        of.turns.erase({line.turnRound, line.turnOrder, customer});
    }
    line.turnRound = round;
    line.turnOrder = ++m_order;
    of.turns.insert({line.turnRound, line.turnOrder, customer});
}

void FairQueue::charge(std::size_t served, Duration cost)
{
    for (std::size_t i = 0; i < Classes; ++i) {
        PriorityClass &of = m_classes.at(i);
        if (i == served) {
            of.owed = std::max(0.0, of.owed - secondsOf(cost));
        } else if (!of.lines.empty()) {
            of.owed += FloorShare * secondsOf(cost);
        }
    }
}

QueuedJob FairQueue::takeOut(QueueTicket ticket)
{
    const auto found = m_jobs.find(ticket);
    QueuedJob job = found->second;
    PriorityClass &of = m_classes.at(classOf(job));
    const auto entry = of.lines.find(job.customer);
    Line &line = entry->second;
    m_jobs.erase(found);
    m_deadlines.erase({job.latestStart, ticket});
    line.jobs.erase({job.latestStart, ticket});
    line.work -= job.cost;
    of.work -= job.cost;
    if (!line.jobs.empty()) {
        schedule(of, job.customer, line);
        return job;
    }
    if (line.turnOrder != 0) {
        of.turns.erase({line.turnRound, line.turnOrder, job.customer});
    }
    of.weight -= line.weight;
    of.lines.erase(entry);
    if (of.lines.empty()) {
        of.weight = 0; // no rounding errors may pile up
        of.owed = 0;
    }
    return job;
}

} // namespace vanilladyke
