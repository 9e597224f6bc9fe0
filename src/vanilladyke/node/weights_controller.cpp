#include "vanilladyke/node/weights_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Upper bound of the random delay before a claim, so that standby nodes don't claim in lockstep.
constexpr double MaxClaimDelaySeconds = 0.4;
/// Delay before a failed read of the lease log is retried.
constexpr Duration ReadRetryDelay = std::chrono::milliseconds(200);

} // namespace

WeightsController::WeightsController(std::string self, std::uint64_t incarnation, LeaseTerms terms,
                                     const BackendRoster &roster, LeaseLog &log,
                                     EngineOrders &orders, WeightsCallbacks callbacks,
                                     StoreCalls &calls, Clock clock, RolloutTerms rolloutTerms,
                                     Random &random)
    : m_self(self)
    , m_lease(std::move(self), incarnation, terms)
    , m_roster(roster)
    , m_log(log)
    , m_orders(orders)
    , m_callbacks(std::move(callbacks))
    , m_calls(calls)
    , m_clock(std::move(clock))
    , m_rolloutTerms(rolloutTerms)
    , m_claimDelay(spanOfSeconds(uniform(random) * MaxClaimDelaySeconds))
{}

void WeightsController::stop()
{
    m_stopping = true;
}

std::vector<WeightsAge> WeightsController::weightsAges(TimePoint now) const
{
    std::vector<WeightsAge> result;
    for (const auto &[model, rollout] : m_rollouts) {
        if (rollout.target() > 0) {
            result.push_back({model, rollout.target(), now - rollout.announcedAt()});
        }
    }
    return result;
}

void WeightsController::weightsAnnounced(const ModelId &model, std::uint64_t version, TimePoint now)
{
    WeightsRollout &rollout = rolloutOf(model);
    if (version > rollout.target()) {
        LogEvent("weights_named").field("model", model.str()).field("version", version);
    }
    rollout.setTarget(version, now);
}

WeightsRollout &WeightsController::rolloutOf(const ModelId &model)
{
    return m_rollouts.try_emplace(model, m_rolloutTerms).first->second;
}

std::uint64_t WeightsController::versionOf(const BackendEntry &entry, const ModelId &model) const
{
    const auto listed = entry.weights.find(model);
    const auto reported = m_reported.find({entry.id, model});
    const bool holds = reported != m_reported.end() && reported->second.start == entry.start;
    return std::max(listed == entry.weights.end() ? 0 : listed->second,
                    holds ? reported->second.version : 0);
}

std::vector<RolloutEngine> WeightsController::enginesOf(const ModelId &model) const
{
    std::vector<RolloutEngine> result;
    for (const BackendEntry &entry : m_roster.serving()) {
        if (entry.weights.contains(model)) {
            result.push_back({entry.id, versionOf(entry, model), 0});
        }
    }
    return result;
}

bool WeightsController::isPending() const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [this](const auto &item) {
        const ModelId &model = item.first;
        const WeightsRollout &rollout = item.second;
        return m_roster.anyServing([&](const BackendEntry &entry) {
            return entry.weights.contains(model) && versionOf(entry, model) < rollout.target();
        });
    });
}

bool WeightsController::needsLease(TimePoint now)
{
    const bool mayOrder = m_lease.mayOrder(now);
    if (mayOrder && m_otherNodes > 0 && m_reachability.isUnreachable(now)) {
        LogEvent("lease_handed_on", Severity::Warning)
                .field("reason", "engines_silent")
                .field("failures", m_reachability.failures());
        m_reachability.leaseReleased(now);
    }
    return !m_stopping && !m_reachability.isPausing(now) && (m_rank || mayOrder) && isPending();
}

void WeightsController::step(TimePoint now)
{
    m_lease.eraKnown(m_log.era(), now);
    const bool isNeeded = needsLease(now);
    if (!isNeeded) {
        for (auto &[model, rollout] : m_rollouts) {
            rollout.abandon();
        }
        m_loads.clear();
        m_neededSince.reset();
        m_hasReadLease = false;
        m_reachability.reset();
    } else if (!m_neededSince) {
        m_neededSince = now;
        m_nextReadAt = now; // the delay of the last read concerned earlier weights
    }
    stepLease(isNeeded, now);
    if (!isNeeded) {
        return;
    }
    logProgress(now);
    if (m_lease.mayOrder(now)) {
        startLoads(now);
    } else if (!m_loads.empty() && m_lease.needsRead()) {
        return; // the result of a renewal is unknown; engines finish loads without further orders
    }
    std::vector<EngineId> ids;
    for (const auto &[id, load] : m_loads) {
        ids.push_back(id);
    }
    for (const EngineId &id : ids) {
        const auto found = m_loads.find(id);
        if (found != m_loads.end()) {
            stepLoad(id, found->second, now);
        }
    }
}

std::string_view WeightsController::waitReason(TimePoint now) const
{
    if (m_lease.mayOrder(now)) {
        return {};
    }
    if (m_lease.needsRead()) {
        return "look_at_lease";
    }
    const bool isHeld = m_lease.last() && !m_lease.last()->isRelease;
    return isHeld ? std::string_view(m_lease.last()->holder) : "its_turn";
}

void WeightsController::logProgress(TimePoint now)
{
    if (now - m_loggedAt < LogInterval) {
        return;
    }
    m_loggedAt = now;
    for (const auto &[model, rollout] : m_rollouts) {
        const RolloutProgress progress = rollout.progress(enginesOf(model), now);
        if (progress.pending == 0) {
            continue;
        }
        LogEvent("rollout")
                .field("model", model.str())
                .field("version", rollout.target())
                .field("age_ms", now - rollout.announcedAt())
                .field("pending", progress.pending)
                .field("under_order", progress.ordered)
                .field("put_off", progress.backingOff)
                .field("first_pending", progress.mostFailed.str())
                .field("first_failures", progress.mostFailures)
                .field("order_time_ms", rollout.orderTime())
                .field("silent_tries", m_reachability.failures())
                .field("rank", m_rank ? std::to_string(*m_rank) : "none")
                .field("waits_for", waitReason(now));
    }
}

void WeightsController::stepLease(bool needsLease, TimePoint now)
{
    if (!needsLease && m_pendingOrders > 0) {
        return; // a release states that no order is in progress
    }
    if (needsLease && !mayClaim(now)) {
        return;
    }
    if (const auto append = m_lease.nextAppend(needsLease, m_claimDelay, weightsAges(now), now)) {
        m_calls.count(StoreCall::Append, StoreTopic::Lease, CallCause::Rollout);
        m_log.append(*append, [this](const LeaseAppendAnswer &answer) { appended(answer); });
        return;
    }
    if (needsLease) {
        readLease(now);
    }
}

void WeightsController::appended(const LeaseAppendAnswer &answer)
{
    const TimePoint now = m_clock();
    m_lease.eraKnown(m_log.era(), now);
    if (answer.result == LeaseAppendResult::Accepted) {
        m_lease.appended(answer.end, now, answer.era);
        LogEvent("lease_appended")
                .field("end", answer.end)
                .field("era", answer.era)
                .field("fence", m_lease.fence())
                .field("holds", m_lease.mayOrder(now))
                .field("release", m_lease.last() && m_lease.last()->isRelease)
                .field("past_orders", m_lease.last() ? m_lease.last()->update.orders.size() : 0);
        return;
    }
    LogEvent("lease_append_failed").field("known", answer.result == LeaseAppendResult::Refused);
    m_lease.appendUnresolved();
}

bool WeightsController::mayClaim(TimePoint now)
{
    const std::size_t rank = m_rank.value_or(0);
    if (rank == 0 || m_lease.mayOrder(now)) {
        return true;
    }
    if (now - *m_neededSince < ClaimDelayPerRank * static_cast<int>(rank)) {
        return false;
    }
    if (!m_hasReadLease) {
        readLease(now); // a claim at an outdated end of the log would be refused
    }
    return m_hasReadLease;
}

Duration WeightsController::leasePollDelay() const
{
    const std::size_t pauses = std::min(m_rank.value_or(0) + 1, MaxLeasePollFactor);
    return LeasePollInterval * static_cast<int>(pauses);
}

void WeightsController::readLease(TimePoint now)
{
    if (m_isReading || now < m_nextReadAt || (!m_lease.needsRead() && m_lease.mayOrder(now))) {
        return;
    }
    m_isReading = true;
    const bool longPolls = m_rank.value_or(0) < LongPollingRanks;
    std::optional<std::uint64_t> known;
    if (!m_lease.needsRead() && longPolls) {
        known = m_lease.end();
    }
    m_calls.count(known ? StoreCall::Wait : StoreCall::Read, StoreTopic::Lease, CallCause::Rollout);
    m_log.read(known, [this, longPolls](const std::optional<LeaseLogState> &state) {
        m_isReading = false;
        if (!state) {
            m_nextReadAt = m_clock() + ReadRetryDelay;
            return;
        }
        m_hasReadLease = true;
        const bool isHeld = state->last && !state->last->isRelease;
        m_nextReadAt = m_clock() + (longPolls || !isHeld ? Duration::zero() : leasePollDelay());
        applyLeaseState(*state);
    });
}

void WeightsController::applyLeaseState(const LeaseLogState &state)
{
    m_lease.eraKnown(m_log.era(), m_clock());
    m_lease.logRead(state.end, state.last, m_clock(), state.era);
    if (!state.last || state.last->holder == m_self) {
        return;
    }
    for (auto &[model, rollout] : m_rollouts) {
        rollout.abandon();
    }
    m_loads.clear();
    for (const WeightsAge &each : state.last->update.weights) {
        const auto rollout = m_rollouts.find(each.model);
        if (rollout != m_rollouts.end() && rollout->second.target() == each.version
            && rollout->second.announcedAt() > m_clock() - each.age) {
            rollout->second.setAnnouncedAt(m_clock() - each.age);
            m_callbacks.receivedEarlier(each);
        }
    }
}

void WeightsController::startLoads(TimePoint now)
{
    for (auto &[model, rollout] : m_rollouts) {
        for (const EngineId &id : rollout.enginesToOrder(enginesOf(model), now)) {
            if (m_loads.contains(id) || m_lease.isInHandoverGap(id, now)) {
                continue;
            }
            rollout.reserve(id);
            m_loads[id] = Load{model, rollout.target(), now, now, false, false, 0, {}};
        }
    }
}

void WeightsController::stepLoad(const EngineId &id, Load &load, TimePoint now)
{
    const BackendEntry *engine = m_roster.find(id);
    if (engine == nullptr || engine->isDraining || now - load.startedAt > OrderTimeout) {
        endLoad(id, false);
        return;
    }
    if (load.isAwaitingAnswer || now < load.reportAt) {
        return;
    }
    load.isAwaitingAnswer = true;
    if (!load.wasOrdered) {
        // Announced along with the report request, so that other nodes have sent their last
        // request to the engine before the order arrives.
        announce(id, load, Duration::zero());
    }
    m_orders.report(*engine, [this, id](const std::optional<EngineReport> &report) {
        reportReceived(id, report);
    });
}

void WeightsController::reportReceived(const EngineId &id,
                                       const std::optional<EngineReport> &report)
{
    const auto found = m_loads.find(id);
    if (found == m_loads.end()) {
        return;
    }
    Load &load = found->second;
    load.isAwaitingAnswer = false;
    load.reportAt = nextReportAt(load);
    const BackendEntry *engine = m_roster.find(id);
    if (report) {
        m_reachability.answered(id, m_clock());
    } else {
        m_reachability.failed(id, m_clock());
    }
    if (!report || engine == nullptr) {
        if (!load.wasOrdered || ++load.unansweredReports >= MaxUnansweredReports) {
            endLoad(id, false);
        }
        return;
    }
    load.unansweredReports = 0;
    const auto version = report->weights.find(load.model);
    const std::uint64_t has = version == report->weights.end() ? 0 : version->second;
    m_reported[{id, load.model}] = {engine->start, has};
    if (has >= load.version) {
        m_callbacks.loaded(id, load.model, has);
        endLoad(id, true);
        return;
    }
    if (report->isBusy) {
        rolloutOf(load.model).setDraining(id, report->running > 0);
        announce(id, load, Duration::zero());
        return;
    }
    if (load.wasOrdered && m_clock() - load.startedAt < ReportLag) {
        return;
    }
    sendOrder(*engine, load, report->ordersAccepted);
}

TimePoint WeightsController::nextReportAt(const Load &load) const
{
    const TimePoint soon = m_clock() + ReportInterval;
    const auto rollout = m_rollouts.find(load.model);
    if (!load.wasOrdered || rollout == m_rollouts.end()) {
        return soon;
    }
    const double expected = FirstReportFraction * secondsOf(rollout->second.orderTime());
    return std::max(soon, load.startedAt + spanOfSeconds(expected));
}

void WeightsController::announce(const EngineId &id, Load &load, Duration expected)
{
    const TimePoint until = m_clock() + expected + LoadingMargin;
    if (until - load.announcedUntil < LoadingMargin / 2) {
        return; // the sent end is late enough, and each announcement goes to all nodes
    }
    load.announcedUntil = until;
    m_callbacks.loading(id, expected + LoadingMargin);
}

void WeightsController::sendOrder(const BackendEntry &engine, Load &load, std::uint64_t accepted)
{
    if (!m_lease.mayOrder(m_clock())) {
        endLoad(engine.id, false);
        return;
    }
    load.wasOrdered = true;
    load.isAwaitingAnswer = true;
    load.startedAt = m_clock();
    // Orders the newest announced weights: an older version would need a second order, and every
    // answer until then would come from superseded weights.
    WeightsRollout &rollout = rolloutOf(load.model);
    load.version = rollout.target();
    rollout.orderSent(engine.id, m_clock());
    announce(engine.id, load, rollout.orderTime());
    m_lease.orderSent(engine.id, m_clock());
    ++m_pendingOrders;
    const WeightsOrder order{load.model, load.version, m_self, m_lease.fence(), accepted};
    LogEvent("weights_order")
            .field("backend", engine.id.str())
            .field("model", order.model.str())
            .field("version", order.version)
            .field("fence", order.fence)
            .field("orders_accepted", accepted);
    m_orders.order(engine, order,
                   [this, id = engine.id](OrderResult end) { orderAnswered(id, end); });
}

void WeightsController::orderAnswered(const EngineId &id, OrderResult end)
{
    --m_pendingOrders;
    m_lease.orderSent(id, m_clock());
    const auto found = m_loads.find(id);
    if (found == m_loads.end()) {
        return;
    }
    Load &load = found->second;
    load.isAwaitingAnswer = false;
    load.startedAt = m_clock();
    switch (end) {
    case OrderResult::Accepted:
        load.reportAt = m_clock() + ReportLag;
        break;
    case OrderResult::AlreadyLoaded:
    case OrderResult::Refused:
        load.reportAt = m_clock() + ReportInterval;
        break;
    case OrderResult::Unknown:
        // The order may take effect seconds later or never. Waiting for it would occupy a slot
        // that other engines need; the engine keeps serving and is ordered again later.
        m_callbacks.loading(id, Duration::zero());
        endLoad(id, false);
        break;
    case OrderResult::OtherEngine:
        endLoad(id, false);
        break;
    }
    if (end != OrderResult::Accepted) {
        LogEvent("weights_order_failed")
                .field("backend", id.str())
                .field("end", static_cast<int>(end));
    }
}

void WeightsController::endLoad(const EngineId &id, bool succeeded)
{
    const auto found = m_loads.find(id);
    if (found == m_loads.end()) {
        return;
    }
    LogEvent("weights_load_ended")
            .field("backend", id.str())
            .field("version", found->second.version)
            .field("succeeded", succeeded)
            .field("took_ms", m_clock() - found->second.startedAt);
    rolloutOf(found->second.model).orderEnded(id, succeeded, m_clock());
    m_loads.erase(found);
}

} // namespace vanilladyke
