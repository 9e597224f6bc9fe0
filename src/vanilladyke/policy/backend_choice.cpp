#include "vanilladyke/policy/backend_choice.hpp"

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Assumed time of a plain service's call; only its ratio to other waits matters.
constexpr Millis PlainCallTime{10};

bool isAmong(const std::vector<EngineId> &servers, const EngineId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

} // namespace

bool BackendQuery::hasPreferredEngine() const
{
    return !sharedPart.empty() && sharedTokens >= minPreferredTokens;
}

std::uint64_t BackendQuery::keyOf(const std::string &part) const
{
    return hashOfName(cacheGroup.empty() ? part : part + "/" + cacheGroup);
}

std::uint64_t BackendQuery::partKey() const
{
    return keyOf(sharedPart);
}

std::uint64_t BackendQuery::preferenceKey() const
{
    return keyOf(preferencePart.empty() ? sharedPart : preferencePart);
}

std::optional<TimePoint> BackendTracker::weightsEnd(const EngineId &id, const ModelId &model) const
{
    const auto state = m_states.find(id);
    const auto dates = m_weightsDates.find(model);
    if (state == m_states.end() || dates == m_weightsDates.end()) {
        return std::nullopt;
    }
    return dates->second.deadlineOf(weightsOf(state->second, model), m_costs.oldWeightsPeriod);
}

bool BackendTracker::canBeginInTime(const State &state, const BackendQuery &query,
                                    const WeightsAnnouncements *dates, TimePoint now) const
{
    if (dates == nullptr) {
        return true;
    }
    const auto end = dates->deadlineOf(weightsOf(state, query.model), m_costs.oldWeightsPeriod);
    if (!end) {
        return true;
    }
    const auto tokens = static_cast<double>(query.sharedTokens + query.ownTokens);
    const Millis wait = predictedWait(state, query.urgency, now) + prefillTime(state, tokens, now);
    const auto begins = std::chrono::duration_cast<Duration>(m_costs.oldWeightsWaitFactor * wait);
    return now + begins + OldWeightsMargin < *end;
}

Millis BackendTracker::prefillTime(const State &state, double tokens, TimePoint now)
{
    return state.throughput->prefillTime(tokens) * state.slowdown.factor(now);
}

bool BackendTracker::isUnresponsive(const State &state, TimePoint now) const
{
    return state.unanswered > 0 && now - state.unansweredSince > UnresponsiveAfter;
}

Millis BackendTracker::predictedWait(const State &state, int urgency, TimePoint now) const
{
    // The reported queue of the engine contains the requests of this node and of its peers, which
    // are predicted below; only requests of unknown nodes are added.
    const double peers = peersInFlight(state, now);
    int others = 0;
    int queued = 0;
    if (now - state.reportedAt < ReportLifetime) {
        const int reportedOthers =
                state.reportedRunning + state.reportedWaiting - state.ownAtReport;
        others = std::max(0, reportedOthers - static_cast<int>(peers));
        queued = std::min(others, state.reportedWaiting);
    }
    const int busy = others + state.inFlight + static_cast<int>(std::lround(peers));
    const int over = std::max(queued, busy + 1 - state.entry.slots);
    // The slots of a full server become free one after the other.
    const Millis perSlot = state.slotTimes->mean() / std::max(state.entry.slots, 1);
    const double slotsUsed = static_cast<double>(busy) / std::max(state.entry.slots, 1);
    const int most = m_costs.weighsUrgency ? urgency : PrefillBacklog::Urgencies - 1;
    return state.backlog.ahead(most) + state.peerBacklog.ahead(most, now) + busy * m_costs.stepDelay
           + over * perSlot + slotsUsed * PlainCallTime;
}

Millis BackendTracker::penaltiesOf(const State &state, const BackendQuery &query,
                                   const WeightsAnnouncements *dates, TimePoint now) const
{
    const std::uint64_t weights = weightsOf(state, query.model);
    Millis penalties =
            state.entry.dataCentre == m_here ? Millis::zero() : m_costs.crossDataCentrePenalty;
    if (state.failureFraction > 0) {
        const double age = secondsOf(now - state.failureAt) / secondsOf(FailureHalfLife);
        penalties += m_costs.failurePenalty * state.failureFraction * std::exp2(-age);
    }
    if (isUnresponsive(state, now)) {
        penalties += m_costs.unresponsivePenalty;
    }
    if (state.limit.perSecond()) {
        penalties += m_costs.limitedPenalty * state.limit.scarcity(now);
    }
    if (dates != nullptr && dates->isSuperseded(weights, now - OldWeightsGrace)) {
        penalties += m_costs.oldWeightsPenalty * Millis(query.target);
    }
    return penalties;
}

DataCentreId BackendTracker::preferredDataCentre(const std::vector<const State *> &all,
                                                 std::uint64_t part) const
{
    const auto preferred =
            std::max_element(all.begin(), all.end(), [part](const State *a, const State *b) {
                return mixBits(part ^ a->hash) < mixBits(part ^ b->hash);
            });
    return preferred == all.end() ? DataCentreId() : (*preferred)->entry.dataCentre;
}

std::uint64_t BackendTracker::newestWeights(const ModelId &model) const
{
    const auto dates = m_weightsDates.find(model);
    return dates == m_weightsDates.end() ? 0 : dates->second.newest();
}

void BackendTracker::limitCandidates(const BackendQuery &query, std::size_t more, TimePoint now,
                                     std::vector<Candidate> *available) const
{
    std::sort(available->begin(), available->end(),
              [](const Candidate &a, const Candidate &b) { return a.order > b.order; });
    const std::vector<std::uint64_t> holders = m_holders.backends(query.partKey());
    const std::uint64_t newest = newestWeights(query.model);
    std::vector<Candidate> kept;
    std::vector<Candidate> others;
    std::size_t onNewest = 0;
    for (const Candidate &each : *available) {
        const bool isFirst = kept.size() + others.size() < m_costs.preferredCount;
        const bool isHolder =
                std::find(holders.begin(), holders.end(), each.state->hash) != holders.end();
        bool isReplacement = newest > 0 && weightsOf(*each.state, query.model) >= newest;
        isReplacement = isReplacement && onNewest++ < m_costs.preferredCount;
        (isFirst || isHolder || isReplacement ? kept : others).push_back(each);
    }
    const auto drawn = others.begin() + static_cast<std::ptrdiff_t>(std::min(more, others.size()));
    const std::uint64_t draw =
            mixBits(m_self ^ static_cast<std::uint64_t>(now.time_since_epoch().count()));
    std::partial_sort(others.begin(), drawn, others.end(),
                      [draw](const Candidate &a, const Candidate &b) {
                          return mixBits(draw ^ a.state->hash) > mixBits(draw ^ b.state->hash);
                      });
    kept.insert(kept.end(), others.begin(), drawn);
    *available = std::move(kept);
}

std::optional<TimePoint> BackendTracker::availableAt(const State &state, TimePoint now) const
{
    if (m_statements.isLeaving(state.hash, now)) {
        return now + MaxExclusion; // another server may have come by then
    }
    const TimePoint excludedUntil =
            std::max({state.excludedUntil, state.loadingUntil, state.unreachableUntil,
                      m_statements.restUntil(state.hash)});
    if (excludedUntil > now) {
        return excludedUntil;
    }
    if (!m_costs.enforcesLimits) {
        return std::nullopt;
    }
    if (state.brittle.rejections() && state.placeDeniedUntil > now) {
        return state.placeDeniedUntil;
    }
    if (state.limit.allows(drawFor(state.hash, now), now)) {
        return std::nullopt;
    }
    return state.limit.nextAllowedAt(now);
}

BackendTracker::CandidateSet BackendTracker::collectCandidates(const BackendQuery &query,
                                                               const WeightsAnnouncements *dates,
                                                               std::size_t more, TimePoint now,
                                                               NoBackend *none) const
{
    const std::vector<const State *> &all = m_byService.at(query.service);
    const bool hasPreferredEngine = query.hasPreferredEngine();
    const std::uint64_t part = hasPreferredEngine ? query.preferenceKey() : 0;
    const bool evaluatesAll = all.size() <= EvaluateAllUpTo;
    const std::size_t most = evaluatesAll ? all.size()
                                          : (hasPreferredEngine ? m_costs.preferredCount
                                                                : m_costs.candidateCount + more);
    // With a store in each data centre, the engines in the data centre of the preferred one come
    // first in the order, close to the store that keeps the part.
    constexpr std::uint64_t SameDataCentre = 1ULL << 63U;
    const bool hasStores = query.kept != nullptr && query.kept->stores() > 1;
    CandidateSet result;
    if (hasPreferredEngine) {
        result.preferredDataCentre = preferredDataCentre(all, part);
    }
    std::size_t responsive = 0;
    for (const State *state : all) {
        if (!hasPreferredEngine && responsive >= most) {
            break;
        }
        const EngineId &id = state->entry.id;
        const bool isOffered = (query.only.empty() || isAmong(query.only, id))
                               && !isAmong(query.exclude, id)
                               && (!query.software || *query.software == state->software);
        if (!isOffered || !canBeginInTime(*state, query, dates, now)) {
            continue;
        }
        if (const auto later = availableAt(*state, now)) {
            none->retryAt = std::min(none->retryAt, *later);
            continue;
        }
        responsive += isUnresponsive(*state, now) ? 0 : 1;
        std::uint64_t order = mixBits(part ^ state->hash) & ~SameDataCentre;
        if (!hasStores || state->entry.dataCentre == result.preferredDataCentre) {
            order |= SameDataCentre;
        }
        result.available.push_back({state, order, {}});
    }
    if (hasPreferredEngine && result.available.size() > most) {
        limitCandidates(query, more, now, &result.available);
    }
    for (Candidate &each : result.available) {
        each.wait = predictedWait(*each.state, query.urgency, now);
        each.cost = each.wait + penaltiesOf(*each.state, query, dates, now);
    }
    return result;
}

const BackendTracker::State *BackendTracker::fetchSource(const State &engine,
                                                         const PartHolders::Lookup &lookup,
                                                         const BackendQuery &query,
                                                         TimePoint now) const
{
    const State *best = nullptr;
    if (!m_costs.fetchesFromEngines) {
        return best;
    }
    for (const std::uint64_t backend : m_holders.holders(lookup, now)) {
        const auto known = m_byHash.find(backend);
        if (known == m_byHash.end() || known->second == &engine) {
            continue;
        }
        const State &state = *known->second;
        const bool isUsable = state.excludedUntil <= now && state.loadingUntil <= now
                              && !isUnresponsive(state, now)
                              && weightsOf(state, query.model) == lookup.weights;
        best = isUsable ? &state : best; // the most recently used comes last
    }
    return best;
}

double BackendTracker::drawFor(std::uint64_t part, TimePoint now)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    const auto nanos = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return static_cast<double>(mixBits(part ^ mixBits(nanos)) >> 11U) * Scale;
}

BackendTracker::PrefillPlan BackendTracker::planPrefill(const State &engine, const State &preferred,
                                                        const BackendQuery &query,
                                                        const KeptStore *store, TimePoint now) const
{
    const PartHolders::Lookup lookup{query.partKey(), weightsOf(engine, query.model),
                                     query.sharedTokens, query.memoryTokens};
    const std::string salt = cacheSalt(query.model, lookup.weights, query.cacheGroup);
    const bool isKept =
            store != nullptr && query.kept->holds(store->endpoint, salt, query.sharedPart, now);
    // A preferred engine on older weights cannot hold the part under newer ones, so some engine has
    // to prefill it: no penalty.
    const bool isPreferred =
            &engine == &preferred || weightsOf(preferred, query.model) < lookup.weights;
    const auto shared = static_cast<double>(query.sharedTokens);
    PrefillPlan plan;
    plan.tokens = static_cast<double>(query.ownTokens);
    plan.time = prefillTime(engine, plan.tokens, now);
    const Millis sharedTime = prefillTime(engine, shared, now);
    plan.isCached = m_holders.holds(lookup, engine.hash, now);
    if (store != nullptr && !isKept && query.kept->state(store->endpoint) != KeptCacheState::Down) {
        plan.saveTo = store->endpoint;
    }
    // Engines transfer faster than a store, whose single link is shared by many engines.
    const State *holder = fetchSource(engine, lookup, query, now);
    const std::uint64_t storeName = store == nullptr ? 0 : hashOf(store->endpoint);
    const bool mayFetch =
            isKept
            && m_fetches.allows(storeName, m_costs.keptTokensPerMs, drawFor(lookup.part, now), now);
    if (holder != nullptr) {
        plan.fetchFrom = holder->entry.endpoint;
    } else if (mayFetch) {
        plan.fetchFrom = store->endpoint;
    }
    if (plan.isCached) {
        return plan; // a fetch transfers only what was evicted meanwhile
    }
    plan.store = isKept && holder == nullptr ? storeName : 0;
    if (holder != nullptr) {
        plan.penalty = m_costs.copyPenalty * sharedTime;
        plan.time += FetchSetup + Millis(shared / m_costs.engineTokensPerMs);
        return plan;
    }
    plan.penalty = isPreferred ? Millis::zero() : m_costs.nonPreferredPenalty * sharedTime;
    if (mayFetch) {
        constexpr double AcrossCentres = 2;
        const double far = store->dataCentre == engine.entry.dataCentre ? 1 : AcrossCentres;
        plan.time += FetchSetup + Millis(far * shared / m_costs.keptTokensPerMs);
    } else {
        plan.tokens += shared;
        plan.time += sharedTime;
    }
    return plan;
}

tl::expected<BackendChoice, NoBackend> BackendTracker::choose(const BackendQuery &query,
                                                              TimePoint now) const
{
    const auto service = m_byService.find(query.service);
    if (service == m_byService.end() || service->second.empty()) {
        return tl::make_unexpected(NoBackend{false, now + UnknownServiceRetryDelay});
    }
    const auto datesFound = m_weightsDates.find(query.model);
    const bool hasDates = !query.model.empty() && datesFound != m_weightsDates.end();
    const WeightsAnnouncements *dates = hasDates ? &datesFound->second : nullptr;
    NoBackend none{true, now + MaxExclusion};
    std::optional<BackendChoice> chosen =
            best(query, collectCandidates(query, dates, 0, now, &none), now);
    const Millis maxWait = m_costs.maxWaitFraction * Millis(query.target);
    if (!chosen || chosen->wait > maxWait) {
        // The request would be refused: other servers may be free, though they prefill more of it.
        CandidateSet wider = collectCandidates(query, dates, m_costs.candidateCount, now, &none);
        const auto overloaded =
                std::partition(wider.available.begin(), wider.available.end(),
                               [&](const Candidate &each) { return each.wait <= maxWait; });
        if (overloaded != wider.available.begin()) {
            wider.available.erase(overloaded, wider.available.end());
        }
        chosen = best(query, wider, now);
    }
    if (!chosen) {
        return tl::make_unexpected(none);
    }
    return *chosen;
}

std::optional<BackendChoice>
BackendTracker::best(const BackendQuery &query, const CandidateSet &candidates, TimePoint now) const
{
    const std::vector<Candidate> &available = candidates.available;
    if (available.empty()) {
        return std::nullopt;
    }
    const bool hasPreferredEngine = query.hasPreferredEngine();
    const KeptStore *store = hasPreferredEngine && query.kept != nullptr
                                     ? query.kept->storeOf(candidates.preferredDataCentre)
                                     : nullptr;
    const auto preferred = std::max_element(
            available.begin(), available.end(),
            [](const Candidate &a, const Candidate &b) { return a.order < b.order; });
    BackendChoice best;
    const State *chosen = nullptr;
    for (const Candidate &engine : available) {
        PrefillPlan plan;
        if (hasPreferredEngine) {
            plan = planPrefill(*engine.state, *preferred->state, query, store, now);
        } else {
            plan.tokens = static_cast<double>(query.sharedTokens + query.ownTokens);
            plan.time = prefillTime(*engine.state, plan.tokens, now);
        }
        const Millis cost = engine.cost + plan.time + plan.penalty;
        if (chosen == nullptr || cost < best.cost) {
            chosen = engine.state;
            best.isCached = plan.isCached;
            best.fetchFrom = plan.fetchFrom;
            best.saveTo = plan.saveTo;
            best.store = plan.store;
            best.cost = cost;
            best.prefill = plan.time;
            best.prefillTokens = plan.tokens;
        }
    }
    best.chosenAt = now;
    best.urgency = query.urgency;
    best.wait = predictedWait(*chosen, query.urgency, now);
    best.timeToFirstToken = best.wait + best.prefill + chosen->throughput->predict(0);
    best.tokensPerMs = chosen->throughput->tokensPerMs() / chosen->slowdown.factor(now);
    best.hasNoBacklog =
            chosen->unanswered == 0
            && chosen->peerBacklog.ahead(PrefillBacklog::Urgencies - 1, now) <= Millis::zero()
            && (now - chosen->reportedAt > ReportLifetime || chosen->reportedWaiting == 0);
    best.part = hasPreferredEngine ? query.partKey() : 0;
    best.sharedTokens = query.sharedTokens;
    best.backend = chosen->entry;
    best.weights = weightsOf(*chosen, query.model);
    best.candidates = available.size();
    return best;
}

} // namespace vanilladyke
