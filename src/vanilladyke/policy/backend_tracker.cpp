#include "vanilladyke/policy/backend_tracker.hpp"

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/stream_origins.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanilladyke {

BackendTracker::BackendTracker(DataCentreId here, BackendCostParameters rates, std::uint64_t self)
    : m_here(std::move(here))
    , m_costs(rates)
    , m_self(self)
{}

void BackendTracker::setBackends(const std::vector<BackendEntry> &serving, TimePoint now)
{
    std::unordered_map<EngineId, State> next;
    m_byService.clear();
    for (const BackendEntry &entry : serving) {
        State state;
        const auto known = m_states.find(entry.id);
        const bool hasStarted = recordStart(entry, now);
        const bool isSameStart = known != m_states.end() && !hasStarted;
        if (isSameStart) {
            state = std::move(known->second);
        }
        const std::map<ModelId, std::uint64_t> seen = std::move(state.entry.weights);
        state.entry = entry;
        state.entry.weights = seen;
        for (const auto &[model, version] : entry.weights) {
            recordWeights(state, model, version);
        }
        state.hash = hashOf(entry.id);
        state.software = softwareKey(entry.software);
        const auto brittle = m_brittleServices.find(entry.service);
        if (!isSameStart && brittle != m_brittleServices.end()) {
            state.brittle.presume(brittle->second, now);
        }
        next.emplace(entry.id, std::move(state));
    }
    m_states = std::move(next);
    m_byHash.clear();
    for (auto &[id, state] : m_states) {
        m_byHash.emplace(state.hash, &state);
        state.throughput = &m_throughputs[state.entry.service];
        state.durations = &m_durations[state.entry.service];
        state.slotTimes = &m_slotTimes[state.entry.service];
        m_byService[state.entry.service].push_back(&state);
    }
    if (m_starts.size() > MaxUnlistedStarts + m_states.size()) {
        std::erase_if(m_starts,
                      [this](const auto &item) { return !m_byHash.contains(item.first); });
    }
    for (auto &[service, states] : m_byService) {
        std::sort(states.begin(), states.end(), [this](const State *a, const State *b) {
            return mixBits(m_self ^ a->hash) > mixBits(m_self ^ b->hash);
        });
    }
}

bool BackendTracker::recordStart(const BackendEntry &entry, TimePoint now)
{
    const std::uint64_t hash = hashOf(entry.id);
    const auto [last, isFirst] = m_starts.try_emplace(hash, entry.start);
    if (isFirst || last->second == entry.start) {
        return false;
    }
    last->second = entry.start;
    m_statements.startedAgain(hash, now);
    return true;
}

const PrefillThroughput &BackendTracker::throughputOf(const ServiceId &service) const
{
    static const PrefillThroughput unknown;
    const auto known = m_throughputs.find(service);
    return known == m_throughputs.end() ? unknown : known->second;
}

std::uint64_t BackendTracker::minPreferredTokens(const ServiceId &service) const
{
    const double tokens = m_costs.minPreferredPrefill.count() * throughputOf(service).tokensPerMs();
    return static_cast<std::uint64_t>(tokens);
}

BackendTracker::State *BackendTracker::find(const EngineId &id)
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

void BackendTracker::startedLoading(const EngineId &id, TimePoint until)
{
    if (State *state = find(id)) {
        state->loadingUntil = until;
        state->orderedUntil = until;
    }
}

void BackendTracker::finishedLoading(const EngineId &id, const ModelId &model,
                                     std::uint64_t version, TimePoint now)
{
    if (State *state = find(id)) {
        recordWeights(*state, model, version);
        state->loadingUntil = now;
        state->orderedUntil = now;
        state->reportUntil = now + ReportWeightsFor;
    }
}

std::vector<BackendLoadUpdate> BackendTracker::ownLoad(std::size_t most, TimePoint now) const
{
    std::vector<BackendLoadUpdate> updates;
    for (const auto &[id, state] : m_states) {
        const auto &weights = state.entry.weights;
        const bool hasOneModel = weights.size() == 1;
        const Duration loads = std::max<Duration>(state.orderedUntil - now, Duration::zero());
        if (state.inFlight > 0 || loads > Duration::zero() || now < state.reportUntil) {
            updates.push_back({state.hash, state.backlog, state.inFlight, loads,
                               hasOneModel ? weights.begin()->second : 0});
        }
    }
    std::sort(updates.begin(), updates.end(),
              [](const BackendLoadUpdate &a, const BackendLoadUpdate &b) {
                  return a.backlog.total() > b.backlog.total();
              });
    updates.resize(std::min(updates.size(), most));
    return updates;
}

double BackendTracker::peersInFlight(const State &state, TimePoint now)
{
    const Millis age = std::max(Millis::zero(), Millis(now - state.peersInFlightAt));
    return state.peersInFlight * std::exp(-(age / state.durations->mean()));
}

void BackendTracker::changePeersInFlight(State &state, double by, TimePoint now)
{
    state.peersInFlight = std::max(0.0, peersInFlight(state, now) + by);
    state.peersInFlightAt = now;
}

void BackendTracker::subtract(const Peer &peer, TimePoint now)
{
    const Millis age = now - peer.lastSeenAt;
    for (const PeerLoad &load : peer.loads) {
        const auto found = m_byHash.find(load.backend);
        if (found != m_byHash.end()) {
            State &state = *found->second;
            state.peerBacklog.remove(load.report, now);
            state.peersTold = std::max(0, state.peersTold - load.inFlight);
            changePeersInFlight(state, -load.inFlight * std::exp(-(age / state.durations->mean())),
                                now);
        }
    }
}

void BackendTracker::receivedLoad(std::uint64_t node, const std::vector<BackendLoadUpdate> &updates,
                                  TimePoint now)
{
    Peer &peer = m_peers[node];
    subtract(peer, now);
    peer.lastSeenAt = now;
    peer.loads.clear();
    for (const BackendLoadUpdate &each : updates) {
        const auto known = m_byHash.find(each.backend);
        if (known == m_byHash.end()) {
            continue;
        }
        State &state = *known->second;
        if (m_costs.countsPeerLoad) {
            changePeersInFlight(state, each.inFlight, now);
            state.peersTold += each.inFlight;
            peer.loads.push_back(
                    {each.backend, state.peerBacklog.add(each.backlog, now), each.inFlight});
        }
        std::uint64_t before = each.weights;
        if (state.entry.weights.size() == 1 && each.weights > 0) {
            before = state.entry.weights.begin()->second;
            recordWeights(state, state.entry.weights.begin()->first, each.weights);
        }
        const bool hasLoaded = before < each.weights;
        state.loadingUntil =
                hasLoaded ? now + each.loading : std::max(state.loadingUntil, now + each.loading);
    }
}

void BackendTracker::apply(const PlacementUpdate &update, TimePoint now)
{
    m_holders.recordUse({update.part, update.backend, update.weights, update.written}, now);
    if (update.store != 0) {
        m_fetches.recordDemand(update.store, static_cast<double>(update.wanted), now);
    }
}

std::vector<PlacementUpdate> BackendTracker::takePlacements()
{
    return std::exchange(m_placements, {});
}

void BackendTracker::receivedPlacements(const std::vector<PlacementUpdate> &updates, TimePoint now)
{
    if (!m_costs.usesPlacementUpdates) {
        return;
    }
    for (const PlacementUpdate &each : updates) {
        apply(each, now);
    }
}

void BackendTracker::dropExpiredPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        const bool isExpired = now - item.second.lastSeenAt > PeerLifetime;
        if (isExpired) {
            subtract(item.second, now);
        }
        return isExpired;
    });
}

bool BackendTracker::weightsAnnounced(const AnnouncedWeights &weights, AnnouncementSource grounds,
                                      TimePoint now)
{
    return m_weightsDates[weights.model].add(weights.date, grounds, now, m_costs.oldWeightsPeriod);
}

std::vector<AnnouncedWeights> BackendTracker::announcedWeights() const
{
    std::vector<AnnouncedWeights> result;
    for (const auto &[model, dates] : m_weightsDates) {
        for (const WeightsAnnouncement &date : dates.reportable()) {
            result.push_back({model, date});
        }
    }
    return result;
}

std::uint64_t BackendTracker::weightsOf(const State &state, const ModelId &model)
{
    const auto found = state.entry.weights.find(model);
    return found == state.entry.weights.end() ? 0 : found->second;
}

void BackendTracker::setTransferRates(const TransferRates &rates)
{
    m_costs.engineTokensPerMs = rates.engine > 0 ? rates.engine : m_costs.engineTokensPerMs;
    m_costs.keptTokensPerMs = rates.kept > 0 ? rates.kept : m_costs.keptTokensPerMs;
}

void BackendTracker::recordWeights(State &state, const ModelId &model, std::uint64_t version)
{
    std::uint64_t &known = state.entry.weights[model];
    known = std::max(known, version);
}

void BackendTracker::sent(const BackendChoice &choice, const BackendQuery &query, TimePoint now)
{
    State *const known = find(choice.backend.id);
    if (known == nullptr) {
        return;
    }
    State &state = *known;
    state.limit.sent(now);
    ++state.inFlight;
    if (state.unanswered++ == 0) {
        state.unansweredSince = now;
    }
    state.backlog.add(choice.urgency, choice.prefill);
    if (!query.hasPreferredEngine()) {
        return;
    }
    PlacementUpdate update{query.partKey(), state.hash, choice.weights, 0, query.ownTokens, 0, 0};
    if (choice.saveTo) {
        const std::string salt = cacheSalt(query.model, choice.weights, query.cacheGroup);
        update.saved = KeptCacheView::keyOf(salt, query.sharedPart);
    }
    if (!choice.isCached) {
        update.written += query.sharedTokens;
        update.store = choice.store;
        update.wanted = choice.store == 0 ? 0 : query.sharedTokens;
    }
    apply(update, now);
    if (m_placements.size() < MaxPendingPlacements) {
        m_placements.push_back(update);
    }
}

void BackendTracker::removeFromBacklog(State &state, const BackendChoice &choice)
{
    state.unanswered = std::max(0, state.unanswered - 1);
    state.backlog.remove(choice.urgency, choice.prefill);
    if (state.unanswered == 0) {
        state.backlog = {};
    }
}

void BackendTracker::began(const BackendChoice &choice, TimePoint now)
{
    State *const known = find(choice.backend.id);
    if (known == nullptr) {
        return;
    }
    State &state = *known;
    removeFromBacklog(state, choice);
    state.unansweredSince = now;
    state.begunAt.push_back(now);
    if (choice.hasNoBacklog && choice.prefillTokens > 0) {
        const Millis took = now - choice.chosenAt;
        if (m_costs.learnsSlowdown) {
            state.slowdown.observed(took / state.throughput->predict(choice.prefillTokens), now);
        }
        if (m_costs.learnsThroughput) {
            state.throughput->observed(choice.prefillTokens, took);
        }
    }
}

void BackendTracker::ended(const BackendChoice &choice, bool hadBegun, bool failed, TimePoint now)
{
    State *const known = find(choice.backend.id);
    if (known == nullptr) {
        return;
    }
    State &state = *known;
    if (hadBegun) {
        state.durations->observed(now - choice.chosenAt);
        observeSlotTime(state, choice, now);
    }
    state.inFlight = std::max(0, state.inFlight - 1);
    if (!hadBegun) {
        removeFromBacklog(state, choice);
    } else {
        state.unansweredSince = now;
    }
    constexpr double Weight = 0.2;
    const double age = secondsOf(now - state.failureAt) / secondsOf(FailureHalfLife);
    const double before = state.failureFraction > 0 ? state.failureFraction * std::exp2(-age) : 0;
    state.failureFraction = before + Weight * ((failed ? 1.0 : 0.0) - before);
    state.failureAt = now;
    if (!failed && hadBegun) {
        state.lastExclusion = Duration::zero();
    }
}

void BackendTracker::observeSlotTime(State &state, const BackendChoice &choice, TimePoint now)
{
    if (state.begunAt.empty()) {
        return;
    }
    const Millis ran = now - state.begunAt.front();
    state.begunAt.pop_front();
    if (choice.hasNoBacklog) {
        state.slotTimes->observed(now - choice.chosenAt);
    } else if (choice.prefillTokens > 0) {
        // The wait before the prefill is not part of the slot time. For a plain call the work
        // precedes the first byte and cannot be told from waiting.
        state.slotTimes->observed(ran + choice.prefill);
    }
}

void BackendTracker::exclude(const EngineId &id, TimePoint now)
{
    State *const known = find(id);
    if (known == nullptr) {
        return;
    }
    State &state = *known;
    state.lastExclusion = std::clamp<Duration>(state.lastExclusion * 2, MinExclusion, MaxExclusion);
    state.excludedUntil = std::max(state.excludedUntil, now + state.lastExclusion);
}

void BackendTracker::unreachable(const EngineId &id, TimePoint until)
{
    if (State *const state = find(id)) {
        state->unreachableUntil = until;
    }
}

void BackendTracker::reachable(const EngineId &id)
{
    if (State *const state = find(id)) {
        state->unreachableUntil = {};
    }
}

void BackendTracker::reported(const EngineId &id, int running, int waiting, TimePoint now)
{
    State *const known = find(id);
    if (known == nullptr) {
        return;
    }
    State &state = *known;
    state.reportedRunning = running;
    state.reportedWaiting = waiting;
    state.ownAtReport = state.inFlight;
    state.reportedAt = now;
}

const BackendEntry *BackendTracker::entryOf(const EngineId &id) const
{
    const auto known = m_states.find(id);
    return known == m_states.end() ? nullptr : &known->second.entry;
}

bool BackendTracker::serves(const ServiceId &service, std::uint64_t software) const
{
    const auto known = m_byService.find(service);
    return known != m_byService.end()
           && std::any_of(known->second.begin(), known->second.end(),
                          [software](const State *state) { return state->software == software; });
}

bool BackendTracker::hasSoftware(const EngineId &id, std::uint64_t software) const
{
    const auto known = m_states.find(id);
    return known != m_states.end() && known->second.software == software;
}

std::vector<BackendEntry> BackendTracker::entries() const
{
    std::vector<BackendEntry> entries;
    for (const auto &[id, state] : m_states) {
        entries.push_back(state.entry);
    }
    return entries;
}

std::vector<BackendEntry> BackendTracker::entriesOf(const ServiceId &service) const
{
    std::vector<BackendEntry> entries;
    const auto known = m_byService.find(service);
    if (known != m_byService.end()) {
        for (const State *state : known->second) {
            entries.push_back(state->entry);
        }
    }
    return entries;
}

std::size_t BackendTracker::serversOf(const ServiceId &service) const
{
    const auto known = m_byService.find(service);
    return known == m_byService.end() ? 0 : known->second.size();
}

std::size_t BackendTracker::limitedEngines() const
{
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(), [](const auto &item) {
                return item.second.limit.perSecond().has_value();
            }));
}

void BackendTracker::weightsObserved(const EngineId &id, const ModelId &model,
                                     std::uint64_t version)
{
    if (State *state = find(id)) {
        recordWeights(*state, model, version);
    }
}

void BackendTracker::weightsRefused(const EngineId &id, const ModelId &model, TimePoint now)
{
    State *const state = find(id);
    if (state == nullptr) {
        return;
    }
    const std::uint64_t newest = newestWeights(model);
    if (weightsOf(*state, model) < newest) {
        // The engine has most likely loaded the newest weights meanwhile.
        recordWeights(*state, model, newest);
        return;
    }
    exclude(id, now);
}

std::uint64_t BackendTracker::hashOf(const EngineId &id)
{
    return hashOfName(id.str());
}

std::uint64_t BackendTracker::hashOf(const Endpoint &store)
{
    return hashOfName(store.str());
}

int BackendTracker::inFlight(const EngineId &id) const
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? 0 : found->second.inFlight;
}

} // namespace vanilladyke
