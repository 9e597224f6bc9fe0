#include "vanilladyke/policy/admission.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr Duration MarginStep = std::chrono::milliseconds(50);
constexpr double MarginPercentile = 0.99;
constexpr double MinCorrection = 0.1;
constexpr double MaxCorrection = 10.0;

Duration scaled(Duration span, double factor)
{
    return spanOfSeconds(secondsOf(span) * factor);
}

} // namespace

AdmissionDecision Admission::decide(const AdmissionRequest &request, TimePoint now)
{
    AdmissionDecision decision;
    const QueuedJob job = jobOf(request);
    decision.slots = m_slots;
    decision.waiting = m_queue.size();
    decision.returned = m_returns.claim(job.customer, secondsOf(job.cost), now);
    const bool free = m_running.size() < m_slots && m_queue.empty();
    const ExpectedWork expected =
            decision.returned ? ExpectedWork{} : expectedReturns(job.customer);
    decision.wait = free ? Duration(0) : waitAfter(m_queue.backlogAhead(job, expected), now);
    // If the margin grew so large that everything is refused, nothing would be measured and it
    // could never shrink. An idle node therefore admits a request on the bare prediction.
    const bool idle = m_running.empty() && m_queue.empty();
    decision.firstToken =
            now + decision.wait + (idle ? request.firstToken : allowedFor(request.firstToken));
    if (m_slots == 0) {
        decision.reason = RefusalReason::NoBackend;
    } else if (decision.firstToken > request.deadline) {
        decision.reason = RefusalReason::TooLate;
        decision.retryAt = retryTimeOfLate(job, request, decision.firstToken, now);
    } else if (free) {
        occupy(job, now);
        decision.verdict = AdmissionVerdict::Start;
    } else if (m_queue.push(job)) {
        decision.verdict = AdmissionVerdict::Wait;
    } else {
        decision.reason = RefusalReason::QueueFull;
        const auto returns = static_cast<double>(m_returns.size() + 1);
        const Duration oneSlot = waitAfter(Duration(0), now);
        decision.retryAt = reserveReturn(job, now + scaled(oneSlot, returns));
    }
    return decision;
}

std::optional<TimePoint> Admission::retryTimeOfLate(const QueuedJob &job,
                                                    const AdmissionRequest &request,
                                                    TimePoint firstToken, TimePoint now)
{
    if (now + request.prefill > request.deadline) {
        return std::nullopt; // too late even without any backlog
    }
    const Duration lateBy = firstToken - request.deadline;
    // Jobs that started together release their slots together, and predictions vary by about the
    // time of one job. Adding one mean job keeps the caller from retrying slightly too early.
    return reserveReturn(job, now + lateBy + scaled(meanJob(), m_correction));
}

std::optional<QueuedJob> Admission::startNext(TimePoint now)
{
    if (m_running.size() >= m_slots) {
        return std::nullopt;
    }
    std::optional<QueuedJob> job = m_queue.pop();
    if (job) {
        occupy(*job, now);
    }
    return job;
}

void Admission::release(QueueTicket ticket, TimePoint now)
{
    const Running running = m_running.at(ticket);
    releaseUnused(ticket);
    const double ratio = secondsOf(now - running.startedAt) / secondsOf(running.predicted);
    m_correction +=
            CorrectionRate * (std::clamp(ratio, MinCorrection, MaxCorrection) - m_correction);
}

void Admission::releaseUnused(QueueTicket ticket)
{
    const auto running = m_running.find(ticket);
    m_predictedEnds.erase(m_predictedEnds.find(running->second.predictedEnd));
    m_runningWork -= running->second.predicted;
    m_running.erase(running);
}

void Admission::observeFirstToken(Duration predicted, Duration measured)
{
    const bool above = measured > allowedFor(predicted);
    const double step = above ? MarginPercentile : MarginPercentile - 1;
    m_margin = std::clamp(m_margin + scaled(MarginStep, step), MinMargin, MaxMargin);
}

std::vector<RefusedJob> Admission::setSlots(std::uint32_t slots, TimePoint now)
{
    const bool lost = slots < m_slots;
    m_slots = slots;
    std::vector<RefusedJob> refused;
    if (!lost) {
        return refused;
    }
    for (const auto &[job, ahead] : m_queue.backlogPerJob()) {
        if (m_slots > 0 && now + waitAfter(ahead, now) <= job.latestStart) {
            continue;
        }
        m_queue.remove(job.ticket);
        refused.push_back(refuse(job, now));
    }
    return refused;
}

std::vector<RefusedJob> Admission::expire(TimePoint now)
{
    std::vector<RefusedJob> refused;
    for (const QueuedJob &job : m_queue.expire(now)) {
        refused.push_back(refuse(job, now));
    }
    return refused;
}

std::vector<QueuedJob> Admission::clear()
{
    return m_queue.expire(TimePoint::max());
}

RefusedJob Admission::refuse(const QueuedJob &job, TimePoint now)
{
    if (m_slots == 0) {
        return {job, RefusalReason::NoBackend, std::nullopt};
    }
    const Duration ahead = m_queue.backlogAhead(job, expectedReturns(job.customer));
    return {job, RefusalReason::TooLate, reserveReturn(job, now + waitAfter(ahead, now))};
}

ExpectedWork Admission::expectedReturns(const CustomerId &customer) const
{
    return {spanOfSeconds(m_returns.expected(customer)), spanOfSeconds(m_returns.expected())};
}

QueuedJob Admission::jobOf(const AdmissionRequest &request) const
{
    // A job of cost 0 would never use up a turn.
    const Duration least = std::chrono::microseconds(1);
    return {request.ticket,
            request.customer,
            request.weight,
            request.priority,
            std::max(request.slotTime, least),
            request.deadline - allowedFor(request.firstToken)};
}

Duration Admission::allowedFor(Duration firstToken) const
{
    return scaled(firstToken, WaitFactor) + m_margin;
}

Duration Admission::waitAfter(Duration work, TimePoint now) const
{
    const Duration queued = scaled(work, m_correction / std::max(m_slots, 1U));
    return untilNextSlot(now) + queued;
}

Duration Admission::untilNextSlot(TimePoint now) const
{
    if (m_running.empty()) {
        return Duration(0);
    }
    // The end of a job that is past its predicted end is unknown; the mean time between two ends is
    // used instead.
    const Duration mean = m_runningWork / static_cast<std::int64_t>(m_running.size());
    const Duration between = scaled(mean, m_correction / static_cast<double>(m_running.size()));
    const Duration soonest = *m_predictedEnds.begin() - now;
    return soonest > Duration(0) ? soonest : between;
}

Duration Admission::meanJob() const
{
    if (m_running.empty()) {
        return Duration(0);
    }
    return m_runningWork / static_cast<std::int64_t>(m_running.size());
}

TimePoint Admission::reserveReturn(const QueuedJob &job, TimePoint at)
{
    m_returns.reserve(job.customer, secondsOf(job.cost), at);
    return at;
}

void Admission::occupy(const QueuedJob &job, TimePoint now)
{
    const TimePoint end = now + scaled(job.cost, m_correction);
    m_running[job.ticket] = {now, job.cost, end};
    m_predictedEnds.insert(end);
    m_runningWork += job.cost;
}

} // namespace vanilladyke
