#include "vanilladyke/node/weights_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Upper bound of the random delay before a claim, so that standby nodes don't claim in lockstep.
constexpr double MostPatienceSeconds = 0.4;
/// Delay before a failed read of the lease log is retried.
constexpr Duration ReadPause = std::chrono::milliseconds(200);

} // namespace

WeightsController::WeightsController(std::string self, std::uint64_t incarnation, LeaseTerms terms,
                                     const BackendRoster &roster, LeaseLog &log,
                                     EngineOrders &orders, WeightsNews news, StoreCalls &calls,
                                     Clock clock, RolloutTerms rolloutTerms, Random &random)
    : m_self(self)
    , m_lease(std::move(self), incarnation, terms)
    , m_roster(roster)
    , m_log(log)
    , m_orders(orders)
    , m_news(std::move(news))
    , m_calls(calls)
    , m_clock(std::move(clock))
    , m_rolloutTerms(rolloutTerms)
    , m_patience(spanOfSeconds(uniform(random) * MostPatienceSeconds))
    , m_gap(terms.gap + terms.margin)
{}

void WeightsController::stop()
{
    m_stopping = true;
}

LeaseNews WeightsController::leaseNews(TimePoint now) const
{
    LeaseNews news;
    for (const auto &[engine, at] : m_orderedAt) {
        if (now - at < m_gap) {
            news.ordered.push_back(engine);
        }
    }
    for (const auto &[model, rollout] : m_rollouts) {
        if (rollout.goal() > 0) {
            news.weights.push_back({model, rollout.goal(), now - rollout.namedAt()});
        }
    }
    return news;
}

void WeightsController::weightsNamed(const ModelId &model, std::uint64_t version, TimePoint now)
{
    WeightsRollout &rollout = rolloutOf(model);
    if (version > rollout.goal()) {
        LogEvent("weights_named").field("model", model.str()).field("version", version);
    }
    rollout.name(version, now);
}

WeightsRollout &WeightsController::rolloutOf(const ModelId &model)
{
    return m_rollouts.try_emplace(model, m_rolloutTerms).first->second;
}

std::uint64_t WeightsController::versionOf(const BackendEntry &entry, const ModelId &model) const
{
    const auto listed = entry.weights.find(model);
    const auto observed = m_observed.find({entry.id, model});
    return std::max(listed == entry.weights.end() ? 0 : listed->second,
                    observed == m_observed.end() ? 0 : observed->second);
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
            return entry.weights.contains(model) && versionOf(entry, model) < rollout.goal();
        });
    });
}

bool WeightsController::wantsToOrder(TimePoint now)
{
    const bool mayOrder = m_lease.mayOrder(now);
    if (mayOrder && m_otherNodes > 0 && m_reach.isLost(now)) {
        LogEvent("lease_handed_on", Severity::Warning)
                .field("reason", "engines_silent")
                .field("failures", m_reach.failures());
        m_reach.handedOn(now);
    }
    return !m_stopping && !m_reach.isPausing(now) && (m_rank || mayOrder) && isPending();
}

void WeightsController::step(TimePoint now)
{
    const bool wants = wantsToOrder(now);
    if (!wants) {
        for (auto &[model, rollout] : m_rollouts) {
            rollout.abandon();
        }
        m_loads.clear();
        m_wantsSince.reset();
        m_hasLooked = false;
        m_reach.forget();
    } else if (!m_wantsSince) {
        m_wantsSince = now;
        m_readAt = now; // the delay of the last read concerned earlier weights
    }
    stepLease(wants, now);
    if (!wants) {
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

std::string_view WeightsController::waitsFor(TimePoint now) const
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
    if (now - m_loggedAt < LogEvery) {
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
                .field("version", rollout.goal())
                .field("age_ms", now - rollout.namedAt())
                .field("pending", progress.pending)
                .field("under_order", progress.underOrder)
                .field("put_off", progress.putOff)
                .field("first_pending", progress.first.str())
                .field("first_failures", progress.firstFailures)
                .field("order_time_ms", rollout.orderTime())
                .field("silent_tries", m_reach.failures())
                .field("rank", m_rank ? std::to_string(*m_rank) : "none")
                .field("waits_for", waitsFor(now));
    }
}

void WeightsController::stepLease(bool wantsToOrder, TimePoint now)
{
    if (!wantsToOrder && m_openOrders > 0) {
        return; // a release states that no order is in progress
    }
    if (wantsToOrder && !mayClaim(now)) {
        return;
    }
    if (const auto append = m_lease.nextAppend(wantsToOrder, m_patience, leaseNews(now), now)) {
        m_calls.count(StoreCall::Append, StoreTopic::Lease, CallCause::Rollout);
        m_log.append(*append, [this](AppendEnd end, std::uint64_t offset) {
            if (end == AppendEnd::Taken) {
                m_lease.appended(offset, m_clock());
                return;
            }
            LogEvent("lease_append_failed").field("known", end == AppendEnd::Refused);
            m_lease.appendInDoubt();
        });
        return;
    }
    if (wantsToOrder) {
        readLease(now);
    }
}

bool WeightsController::mayClaim(TimePoint now)
{
    const std::size_t rank = m_rank.value_or(0);
    if (rank == 0 || m_lease.mayOrder(now)) {
        return true;
    }
    if (now - *m_wantsSince < RankPause * static_cast<int>(rank)) {
        return false;
    }
    if (!m_hasLooked) {
        readLease(now); // a claim at an outdated end of the log would be refused
    }
    return m_hasLooked;
}

Duration WeightsController::lookAgain() const
{
    const std::size_t pauses = std::min(m_rank.value_or(0) + 1, MostLookAgain);
    return LookAgain * static_cast<int>(pauses);
}

void WeightsController::readLease(TimePoint now)
{
    if (m_isReading || now < m_readAt || (!m_lease.needsRead() && m_lease.mayOrder(now))) {
        return;
    }
    m_isReading = true;
    const bool watches = m_rank.value_or(0) < Watchers;
    std::optional<std::uint64_t> known;
    if (!m_lease.needsRead() && watches) {
        known = m_lease.end();
    }
    m_calls.count(known ? StoreCall::Wait : StoreCall::Read, StoreTopic::Lease, CallCause::Rollout);
    m_log.read(known, [this, watches](const std::optional<LeaseLogState> &state) {
        m_isReading = false;
        if (!state) {
            m_readAt = m_clock() + ReadPause;
            return;
        }
        m_hasLooked = true;
        const bool isHeld = state->last && !state->last->isRelease;
        m_readAt = m_clock() + (watches || !isHeld ? Duration::zero() : lookAgain());
        sawLease(*state);
    });
}

void WeightsController::sawLease(const LeaseLogState &state)
{
    m_lease.sawLog(state.end, state.last, m_clock());
    if (!state.last || state.last->holder == m_self) {
        return;
    }
    for (auto &[model, rollout] : m_rollouts) {
        rollout.abandon();
    }
    m_loads.clear();
    for (const WeightsAge &each : state.last->news.weights) {
        const auto rollout = m_rollouts.find(each.model);
        if (rollout != m_rollouts.end() && rollout->second.goal() == each.version
            && rollout->second.namedAt() > m_clock() - each.age) {
            rollout->second.date(m_clock() - each.age);
            m_news.aged(each);
        }
    }
}

void WeightsController::startLoads(TimePoint now)
{
    for (auto &[model, rollout] : m_rollouts) {
        for (const EngineId &id : rollout.next(enginesOf(model), now)) {
            if (m_loads.contains(id) || m_lease.isResting(id, now)) {
                continue;
            }
            rollout.started(id);
            m_loads[id] = Load{model, rollout.goal(), now, now, false, false, 0, {}};
        }
    }
}

void WeightsController::stepLoad(const EngineId &id, Load &load, TimePoint now)
{
    const BackendEntry *engine = m_roster.find(id);
    if (engine == nullptr || engine->isDraining || now - load.startedAt > OrderTimeout) {
        finish(id, false);
        return;
    }
    if (load.isAsking || now < load.askAt) {
        return;
    }
    load.isAsking = true;
    if (!load.wasOrdered) {
        // Announced along with the report request, so that other nodes have sent their last
        // request to the engine before the order arrives.
        announce(id, load, Duration::zero());
    }
    m_orders.report(*engine, [this, id](const std::optional<EngineReport> &report) {
        reported(id, report);
    });
}

void WeightsController::reported(const EngineId &id, const std::optional<EngineReport> &report)
{
    const auto found = m_loads.find(id);
    if (found == m_loads.end()) {
        return;
    }
    Load &load = found->second;
    load.isAsking = false;
    load.askAt = nextQuestion(load);
    const BackendEntry *engine = m_roster.find(id);
    if (report) {
        m_reach.answered(id, m_clock());
    } else {
        m_reach.failed(id, m_clock());
    }
    if (!report || engine == nullptr) {
        if (!load.wasOrdered || ++load.silentAnswers >= MostSilentAnswers) {
            finish(id, false);
        }
        return;
    }
    load.silentAnswers = 0;
    const auto version = report->weights.find(load.model);
    const std::uint64_t has = version == report->weights.end() ? 0 : version->second;
    m_observed[{id, load.model}] = has;
    if (has >= load.version) {
        m_news.loaded(id, load.model, has);
        finish(id, true);
        return;
    }
    if (report->isBusy) {
        rolloutOf(load.model).sawRuns(id, report->running > 0);
        announce(id, load, Duration::zero());
        return;
    }
    if (load.wasOrdered && m_clock() - load.startedAt < ReportLag) {
        return;
    }
    giveOrder(*engine, load, report->ordersAccepted);
}

TimePoint WeightsController::nextQuestion(const Load &load) const
{
    const TimePoint soon = m_clock() + NextQuestion;
    const auto rollout = m_rollouts.find(load.model);
    if (!load.wasOrdered || rollout == m_rollouts.end()) {
        return soon;
    }
    const double expected = FirstQuestionPart * secondsOf(rollout->second.orderTime());
    return std::max(soon, load.startedAt + spanOfSeconds(expected));
}

void WeightsController::announce(const EngineId &id, Load &load, Duration expected)
{
    const TimePoint until = m_clock() + expected + AnnounceBeyond;
    if (until - load.announcedUntil < AnnounceBeyond / 2) {
        return; // the sent end is late enough, and each announcement goes to all nodes
    }
    load.announcedUntil = until;
    m_news.loading(id, expected + AnnounceBeyond);
}

void WeightsController::giveOrder(const BackendEntry &engine, Load &load, std::uint64_t accepted)
{
    if (!m_lease.mayOrder(m_clock())) {
        finish(engine.id, false);
        return;
    }
    load.wasOrdered = true;
    load.isAsking = true;
    load.startedAt = m_clock();
    // Orders the newest announced weights: an older version would need a second order, and every
    // answer until then would come from superseded weights.
    WeightsRollout &rollout = rolloutOf(load.model);
    load.version = rollout.goal();
    rollout.ordered(engine.id, m_clock());
    announce(engine.id, load, rollout.orderTime());
    m_orderedAt[engine.id] = m_clock();
    ++m_openOrders;
    const WeightsOrder order{load.model, load.version, m_self, m_lease.fence(), accepted};
    LogEvent("weights_order")
            .field("backend", engine.id.str())
            .field("model", order.model.str())
            .field("version", order.version)
            .field("fence", order.fence)
            .field("orders_accepted", accepted);
    m_orders.order(engine, order, [this, id = engine.id](OrderEnd end) { ordered(id, end); });
}

void WeightsController::ordered(const EngineId &id, OrderEnd end)
{
    --m_openOrders;
    m_orderedAt[id] = m_clock();
    const auto found = m_loads.find(id);
    if (found == m_loads.end()) {
        return;
    }
    Load &load = found->second;
    load.isAsking = false;
    load.startedAt = m_clock();
    switch (end) {
    case OrderEnd::Accepted:
        load.askAt = m_clock() + ReportLag;
        break;
    case OrderEnd::Holds:
    case OrderEnd::Refused:
        load.askAt = m_clock() + NextQuestion;
        break;
    case OrderEnd::Unknown:
        // The order may take effect seconds later or never. Waiting for it would occupy a slot
        // that other engines need; the engine keeps serving and is ordered again later.
        m_news.loading(id, Duration::zero());
        finish(id, false);
        break;
    case OrderEnd::Gone:
        finish(id, false);
        break;
    }
    if (end != OrderEnd::Accepted) {
        LogEvent("weights_order_failed")
                .field("backend", id.str())
                .field("end", static_cast<int>(end));
    }
}

void WeightsController::finish(const EngineId &id, bool succeeded)
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
    rolloutOf(found->second.model).ended(id, succeeded, m_clock());
    m_loads.erase(found);
}

} // namespace vanilladyke
