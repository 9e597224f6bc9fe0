#include "vanilladyke/gateway/admission_control.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/customer_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Every queued and every running request holds one of the 512 traffic threads. If all were taken,
/// new requests would wait outside the queue and even refusals would be late, so some threads stay
/// free for refusals and plain services.
constexpr std::size_t MaxQueued = 256;
constexpr std::size_t MaxRunning = 192;
constexpr std::size_t MinQueueCapacity = 16;
/// Load reports arrive every 100 ms; refreshing more often would find nothing new.
constexpr Duration FleetRefreshInterval = std::chrono::milliseconds(100);
/// A node sends one or two messages in this time, so a shorter interval would not send load updates
/// any sooner.
constexpr Duration LoadReportInterval = std::chrono::milliseconds(250);
constexpr Duration MaxSleep = std::chrono::milliseconds(20);

std::string_view toString(AdmissionVerdict verdict)
{
    switch (verdict) {
    case AdmissionVerdict::Start:
        return "admitted";
    case AdmissionVerdict::Wait:
        return "queued";
    case AdmissionVerdict::Refuse:
        break;
    }
    return "refused";
}

std::string detailOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::TooLate:
        return "the first token would come after the deadline";
    case RefusalReason::QueueFull:
        return "too many requests wait for the model";
    case RefusalReason::RateLimited:
        return "the customer's token rate is used up";
    default:
        return "no engine serves the model";
    }
}

Refusal refusalOf(RefusalReason reason, std::optional<TimePoint> retryAt)
{
    return {reason, detailOf(reason), Ran::No, retryAt};
}

LogEvent &describe(LogEvent &event, const RequestContext &context)
{
    return event.field("request", context.id.str())
            .field("customer", context.customer.str())
            .field("model", context.model.str());
}

void logDecision(const RequestContext &context, const AdmissionDecision &decision, TimePoint now)
{
    LogEvent event("admission");
    describe(event, context)
            .field("verdict", toString(decision.verdict))
            .field("predicted_wait", decision.wait)
            .field("predicted_first_token", decision.firstToken - now)
            .field("allowed", context.firstTokenDeadline - now)
            .field("waiting", decision.waiting)
            .field("slots", decision.slots)
            .field("returned", decision.returned);
    if (decision.verdict == AdmissionVerdict::Refuse) {
        event.field("reason", toString(decision.reason));
    }
    if (decision.retryAt) {
        event.field("retry_after", *decision.retryAt - now);
    }
}

} // namespace

SlotLease::SlotLease(AdmissionControl &control, ModelId model, QueueTicket ticket,
                     Duration firstToken)
    : m_control(control)
    , m_model(std::move(model))
    , m_ticket(ticket)
    , m_predictedFirstToken(firstToken)
    , m_startedAt(MonotonicClock::now())
{}

SlotLease::~SlotLease()
{
    m_control.releaseSlot(m_model, m_ticket, m_completed);
}

void SlotLease::recordFirstToken(TimePoint now)
{
    if (!m_firstTokenSeen) {
        m_firstTokenSeen = true;
        m_control.learnFirstToken(m_model, m_predictedFirstToken, now - m_startedAt);
    }
}

AdmissionControl::AdmissionControl(const FleetStore &fleet, EngineSlots &engines,
                                   const Placer &placer, Inbox &inbox, Metrics &metrics)
    : m_fleet(fleet)
    , m_engines(engines)
    , m_placer(placer)
    , m_inbox(inbox)
    , m_metrics(metrics)
    , m_random(entropySeed())
{
    m_dispatcher = std::jthread([this](const std::stop_token &stop) { dispatch(stop); });
}

AdmissionControl::~AdmissionControl()
{
    m_dispatcher.request_stop();
    m_dispatcher.join();
    refuseWaiting();
}

FilterVerdict AdmissionControl::admit(RequestContext &context)
{
    const Customer *customer = context.fleet->customers->byId(context.customer);
    if (customer == nullptr) {
        return Refusal{RefusalReason::UnknownCustomer, "no such customer", Ran::No, {}};
    }
    if (FilterVerdict limited = checkRate(context, *customer)) {
        return limited;
    }
    const TimePoint now = MonotonicClock::now();
    const AdmissionDecision decision = decide(context, *customer);
    logDecision(context, decision, now);
    m_metrics.count("admissions_total{verdict=\"" + std::string(toString(decision.verdict))
                    + "\"}");
    if (decision.verdict == AdmissionVerdict::Refuse) {
        return refusalOf(decision.reason, decision.retryAt);
    }
    return std::nullopt;
}

FilterVerdict AdmissionControl::checkRate(const RequestContext &context, const Customer &customer)
{
    const TimePoint now = MonotonicClock::now();
    const double tokens = context.promptTokens + context.answerTokens;
    Outcome<void, TimePoint> taken;
    double share = 0;
    {
        const std::lock_guard lock(m_mutex);
        taken = m_limiter.take(customer, tokens, context.fleet->liveNodes, now);
        share = m_limiter.share(customer.id, context.fleet->liveNodes, now);
    }
    if (taken) {
        return std::nullopt;
    }
    LogEvent event("admission");
    describe(event, context)
            .field("verdict", "refused")
            .field("reason", toString(RefusalReason::RateLimited))
            .field("tokens", tokens)
            .field("share", share)
            .field("retry_after", taken.error() - now);
    return refusalOf(RefusalReason::RateLimited, taken.error());
}

AdmissionControl::Forecast AdmissionControl::forecast(const RequestContext &context,
                                                      const Fleet &fleet)
{
    const auto best = m_placer.forecast(context, fleet, {}, m_random);
    if (!best) {
        return {};
    }
    const double decodeRate = fleet.engines[best->engine].load.decodeTokensPerSecond;
    const Duration decode = spanOfSeconds(context.answerTokens / std::max(decodeRate, 1e-3));
    const Duration firstToken = best->wait + best->prefill;
    return {firstToken, firstToken + decode, best->prefill};
}

AdmissionDecision AdmissionControl::decide(RequestContext &context, const Customer &customer)
{
    const std::shared_ptr<const Fleet> fleet = m_fleet.current();
    const std::lock_guard lock(m_mutex);
    const TimePoint now = MonotonicClock::now();
    Admission &admission = admissionFor(context.model);
    if (admission.slots() == 0) {
        m_engines.refresh(*fleet, waitingModels(), now);
        updateSlots(context.model, admission, *fleet, now);
    }
    const Forecast predicted = forecast(context, *fleet);
    const QueueTicket ticket{++m_tickets};
    AdmissionDecision decision = admission.decide(
            {ticket, customer.id, customer.weight, customer.priority, predicted.slotTime,
             predicted.firstToken, context.firstTokenDeadline, predicted.prefill},
            now);
    if (decision.verdict == AdmissionVerdict::Refuse) {
        if (decision.reason == RefusalReason::NoBackend) {
            decision.retryAt = m_engines.earliestReadmission(context.model, *fleet, now);
        }
        return decision;
    }
    context.ticket = ticket;
    context.predictedFirstToken = predicted.firstToken;
    if (decision.verdict == AdmissionVerdict::Start) {
        context.slot =
                std::make_shared<SlotLease>(*this, context.model, ticket, predicted.firstToken);
    } else {
        m_waiters.try_emplace(ticket);
        m_wakeRequested = true; // the request's deadline may be the dispatcher's next time-out
        m_changed.notify_one();
    }
    return decision;
}

FilterVerdict AdmissionControl::awaitSlot(RequestContext &context)
{
    if (context.slot) {
        return std::nullopt;
    }
    std::future<FilterVerdict> verdict;
    {
        const std::lock_guard lock(m_mutex);
        verdict = m_waiters.at(context.ticket).get_future();
    }
    FilterVerdict refusal = verdict.get();
    const TimePoint now = MonotonicClock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_waiters.erase(context.ticket);
    }
    LogEvent event("queue");
    describe(event, context)
            .field("verdict", refusal ? "refused" : "admitted")
            .field("waited", now - context.arrivedAt);
    if (refusal) {
        event.field("reason", toString(refusal->reason));
        m_metrics.count("queue_refusals_total");
        return refusal;
    }
    m_metrics.observe("queue_wait_seconds", now - context.arrivedAt);
    context.slot = std::make_shared<SlotLease>(*this, context.model, context.ticket,
                                               context.predictedFirstToken);
    return std::nullopt;
}

void AdmissionControl::refuseWaiting()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[model, admission] : m_models) {
        for (const QueuedJob &job : admission.clear()) {
            resolveWaiter(job.ticket,
                          Refusal{RefusalReason::ShuttingDown, "the node is shutting down", Ran::No,
                                  MonotonicClock::now()});
        }
    }
}

void AdmissionControl::dispatch(const std::stop_token &stop)
{
    TimePoint nextRefresh;
    while (!stop.stop_requested()) {
        std::unique_lock lock(m_mutex);
        TimePoint now = MonotonicClock::now();
        TimePoint wakeAt = now + MaxSleep;
        for (const auto &[model, admission] : m_models) {
            wakeAt = std::min(wakeAt, admission.nextExpiry().value_or(wakeAt));
        }
        m_changed.wait_until(lock, stop, wakeAt, [this] { return m_wakeRequested; });
        m_wakeRequested = false;
        now = MonotonicClock::now();
        if (now >= nextRefresh) {
            nextRefresh = now + FleetRefreshInterval;
            refreshFleet(*m_fleet.current(), now);
        }
        for (auto &[model, admission] : m_models) {
            refuseJobs(admission.expire(now));
            startQueued(admission);
        }
    }
}

void AdmissionControl::refreshFleet(const Fleet &fleet, TimePoint now)
{
    applyPeerDemand(fleet);
    m_engines.refresh(fleet, waitingModels(), now);
    for (auto &[model, admission] : m_models) {
        updateSlots(model, admission, fleet, now);
    }
    reportLoad(now);
}

void AdmissionControl::applyPeerDemand(const Fleet &fleet)
{
    std::map<NodeId, TimePoint> lastUpdate;
    for (const PeerLoad &peer : fleet.peerLoads) {
        const auto before = m_lastPeerUpdate.find(peer.node);
        if (before == m_lastPeerUpdate.end() || peer.heardAt > before->second) {
            m_limiter.recordPeerDemand(peer.node, peer.load->demand, peer.heardAt);
        }
        lastUpdate[peer.node] = peer.heardAt;
    }
    m_lastPeerUpdate = std::move(lastUpdate);
}

void AdmissionControl::reportLoad(TimePoint now)
{
    if (now >= m_nextLoadReport) {
        m_nextLoadReport = now + LoadReportInterval;
        m_inbox.post(LoadObserved{{waitingModels(), m_limiter.ownDemand(now)}});
    }
}

std::vector<ModelId> AdmissionControl::waitingModels() const
{
    std::vector<ModelId> waiting;
    for (const auto &[model, admission] : m_models) {
        if (admission.waiting() > 0) {
            waiting.push_back(model);
        }
    }
    return waiting;
}

void AdmissionControl::updateSlots(const ModelId &model, Admission &admission, const Fleet &fleet,
                                   TimePoint now)
{
    std::size_t runningOthers = 0;
    for (const auto &[other, otherAdmission] : m_models) {
        runningOthers += other == model ? 0 : otherAdmission.busy();
    }
    const std::size_t threads = MaxRunning > runningOthers ? MaxRunning - runningOthers : 1;
    const std::size_t slots = std::min<std::size_t>(m_engines.slotsFor(model, fleet, now), threads);
    refuseJobs(admission.setSlots(static_cast<std::uint32_t>(slots), now));
}

void AdmissionControl::startQueued(Admission &admission)
{
    while (const auto job = admission.startNext(MonotonicClock::now())) {
        resolveWaiter(job->ticket, std::nullopt);
    }
}

void AdmissionControl::refuseJobs(const std::vector<RefusedJob> &jobs)
{
    for (const RefusedJob &job : jobs) {
        resolveWaiter(job.job.ticket, refusalOf(job.reason, job.retryAt));
    }
}

void AdmissionControl::resolveWaiter(QueueTicket ticket, FilterVerdict verdict)
{
    const auto waiter = m_waiters.find(ticket);
    if (waiter != m_waiters.end()) {
        waiter->second.set_value(std::move(verdict));
    }
}

void AdmissionControl::releaseSlot(const ModelId &model, QueueTicket ticket, bool completed)
{
    const std::lock_guard lock(m_mutex);
    Admission &admission = admissionFor(model);
    if (completed) {
        admission.release(ticket, MonotonicClock::now());
    } else {
        admission.releaseUnused(ticket);
    }
    startQueued(admission);
}

void AdmissionControl::learnFirstToken(const ModelId &model, Duration predicted, Duration measured)
{
    const std::lock_guard lock(m_mutex);
    admissionFor(model).observeFirstToken(predicted, measured);
}

Admission &AdmissionControl::admissionFor(const ModelId &model)
{
    const auto found = m_models.find(model);
    if (found != m_models.end()) {
        return found->second;
    }
    const std::shared_ptr<const Fleet> fleet = m_fleet.current();
    const std::size_t models = fleet->bundle ? fleet->bundle->models.size() : 1;
    const std::size_t capacity =
            std::max(MinQueueCapacity, MaxQueued / std::max<std::size_t>(models, 1));
    return m_models.try_emplace(model, capacity).first->second;
}

} // namespace vanilladyke
