#include "vanilladyke/policy/backend_book.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Of the finalizer of splitmix64, so that the order of one part says nothing about another's.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t hashOfText(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Predicted reading time of a plain service's call; only its ratio to other waits matters.
constexpr double PlainCallMs = 10;
constexpr double EntriesBeforeCleaning = 512;
/// What a request that no slot is free for waits, for each one ahead of it.
constexpr double QueuedMs = 30;

} // namespace

std::string BackendQuery::homeKey() const
{
    return sharedPart.empty() || isolated.empty() ? sharedPart : sharedPart + "/" + isolated.str();
}

BackendBook::BackendBook(DataCentreId here, BackendRates rates)
    : m_here(std::move(here))
    , m_rates(rates)
{}

void BackendBook::setBackends(const std::vector<BackendEntry> &serving)
{
    std::unordered_map<EngineId, State> next;
    m_byService.clear();
    for (const BackendEntry &entry : serving) {
        State state;
        const auto known = m_states.find(entry.id);
        if (known != m_states.end()) {
            state = std::move(known->second);
        }
        const std::map<ModelId, std::uint64_t> seen = std::move(state.entry.weights);
        state.entry = entry;
        state.entry.weights = seen;
        for (const auto &[model, version] : entry.weights) {
            learnWeights(state, model, version);
        }
        state.hash = hashOf(entry.id);
        m_byService[entry.service].push_back(entry.id);
        next.emplace(entry.id, std::move(state));
    }
    m_states = std::move(next);
    m_byHash.clear();
    for (const auto &[id, state] : m_states) {
        m_byHash.emplace(state.hash, id);
    }
}

void BackendBook::loading(const EngineId &id, TimePoint until)
{
    const auto found = m_states.find(id);
    if (found != m_states.end()) {
        found->second.loadingUntil = until;
    }
}

std::vector<BackendLoadNews> BackendBook::ownLoad(std::size_t most, TimePoint now) const
{
    std::vector<BackendLoadNews> news;
    for (const auto &[id, state] : m_states) {
        const auto &weights = state.entry.weights;
        const bool hasOneModel = weights.size() == 1;
        const Duration loads = std::max<Duration>(state.loadingUntil - now, Duration::zero());
        if (state.inFlight > 0 || loads > Duration::zero()) {
            news.push_back({state.hash, state.waitingMs, state.inFlight, loads,
                            hasOneModel ? weights.begin()->second : 0});
        }
    }
    std::sort(news.begin(), news.end(), [](const BackendLoadNews &a, const BackendLoadNews &b) {
        return a.waitingMs > b.waitingMs;
    });
    news.resize(std::min(news.size(), most));
    return news;
}

void BackendBook::subtract(const Peer &peer)
{
    for (const PeerPart &part : peer.parts) {
        const auto found = m_states.find(part.engine);
        if (found != m_states.end()) {
            found->second.peersWaitingMs -= part.waitingMs;
            found->second.peersInFlight -= part.inFlight;
        }
    }
}

void BackendBook::heardLoad(std::uint64_t node, const std::vector<BackendLoadNews> &news,
                            TimePoint now)
{
    Peer &peer = m_peers[node];
    subtract(peer);
    peer.heardAt = now;
    peer.parts.clear();
    for (const BackendLoadNews &each : news) {
        const auto id = m_byHash.find(each.backend);
        if (id == m_byHash.end()) {
            continue;
        }
        State &state = m_states.at(id->second);
        state.peersWaitingMs += each.waitingMs;
        state.peersInFlight += each.inFlight;
        state.loadingUntil = std::max(state.loadingUntil, now + each.loading);
        if (state.entry.weights.size() == 1 && each.weights > 0) {
            learnWeights(state, state.entry.weights.begin()->first, each.weights);
        }
        peer.parts.push_back({id->second, each.waitingMs, each.inFlight});
    }
}

void BackendBook::forgetSilentPeers(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        const bool isSilent = now - item.second.heardAt > PeerLife;
        if (isSilent) {
            subtract(item.second);
        }
        return isSilent;
    });
}

void BackendBook::setGoal(const ModelId &model, std::uint64_t version, TimePoint since)
{
    Goals &goals = m_goals[model];
    if (goals.empty() || version > goals.back().version) {
        goals.push_back({version, since});
    } else if (version == goals.back().version) {
        goals.back().since = std::min(goals.back().since, since);
    }
    // What is older than one whose time is over decides nothing any more.
    while (goals.size() > 1 && since - goals[1].since > m_rates.weightsTime) {
        goals.erase(goals.begin());
    }
}

std::uint64_t BackendBook::leastWeights(const Goals *goals, TimePoint now) const
{
    std::uint64_t least = 0;
    if (goals != nullptr) {
        for (const Goal &goal : *goals) {
            const bool isOver = now - goal.since > m_rates.weightsTime - OldWeightsMargin;
            least = isOver ? goal.version : least;
        }
    }
    return least;
}

std::uint64_t BackendBook::weightsOf(const State &state, const ModelId &model)
{
    const auto found = state.entry.weights.find(model);
    return found == state.entry.weights.end() ? 0 : found->second;
}

void BackendBook::setTransferRates(const TransferRates &rates)
{
    m_rates.engineTokensPerMs = rates.engine > 0 ? rates.engine : m_rates.engineTokensPerMs;
    m_rates.keptTokensPerMs = rates.kept > 0 ? rates.kept : m_rates.keptTokensPerMs;
}

void BackendBook::learnWeights(State &state, const ModelId &model, std::uint64_t version)
{
    std::uint64_t &known = state.entry.weights[model];
    if (version > known) {
        known = version;
        state.held.clear(); // new weights discard what the engine had
    }
}

double BackendBook::waitOf(const State &state, TimePoint now) const
{
    int others = 0;
    int queued = 0;
    if (now - state.reportedAt < ReportLife) {
        const int told = state.running + state.waiting - state.ownAtReport;
        others = std::max(0, told - state.peersInFlight);
        queued = state.waiting;
    }
    const int busy = others + state.inFlight + state.peersInFlight;
    const int over = std::max(queued, busy + 1 - state.entry.slots);
    const double slotsUsed = static_cast<double>(busy) / std::max(state.entry.slots, 1);
    return state.waitingMs + state.peersWaitingMs + busy * m_rates.stepMs + over * QueuedMs
           + slotsUsed * PlainCallMs;
}

double BackendBook::chargesOf(const State &state, std::uint64_t weights, const Goals *goals,
                              TimePoint now) const
{
    double charges = state.entry.dataCentre == m_here ? 0 : m_rates.otherCentreMs;
    if (state.failurePart > 0) {
        const double age = secondsOf(now - state.failureAt) / secondsOf(FailureHalfLife);
        charges += FailureCost * state.failurePart * std::exp2(-age);
    }
    if (state.unanswered > 0 && now - state.silentSince > SilenceToAvoid) {
        charges += SilenceCost;
    }
    const bool isOld =
            goals != nullptr && std::any_of(goals->begin(), goals->end(), [&](const Goal &goal) {
                return weights < goal.version && now - goal.since > OldWeightsGrace;
            });
    if (isOld) {
        charges += m_rates.oldWeightsMs;
    }
    return charges;
}

/// A server that may get the request.
struct BackendBook::Open
{
    const State *state;
    std::uint64_t order; ///< of the shared part's homes; the highest is the first home
    double cost;         ///< without reading
};

/// How the request's prompt would come into an engine's memory.
struct BackendBook::Reading
{
    double ms = 0;
    double charge = 0;
    bool isHeld = false;
    std::optional<Endpoint> fetchFrom;
    bool savesShared = false;
};

BackendBook::Reading BackendBook::readingAt(const Open &engine, const Open &home,
                                            const BackendQuery &query, const std::string &homeKey,
                                            TimePoint now) const
{
    const auto wasThere = [&](const State &state, Duration ago) {
        const auto held = state.held.find(homeKey);
        return held != state.held.end() && now - held->second < ago;
    };
    const std::uint64_t weights = weightsOf(*engine.state, query.model);
    const std::string salt = cacheSalt(query.model, weights, query.isolated);
    const bool isKept = query.kept != nullptr && query.kept->mayHold(salt, query.sharedPart);
    const bool isHome = engine.state == home.state;
    const auto shared = static_cast<double>(query.sharedTokens);
    Reading reading;
    reading.ms = static_cast<double>(query.ownTokens) / m_rates.tokensPerMs;
    reading.isHeld = isHome || wasThere(*engine.state, HeldFor);
    reading.savesShared = query.kept != nullptr && !query.kept->holds(salt, query.sharedPart);
    if (isKept) {
        reading.fetchFrom = query.keptCache;
    }
    if (reading.isHeld) {
        return reading;
    }
    reading.charge = m_rates.copyMsPerToken * shared;
    // Engines hand out faster than the store, whose one link all engines share.
    const bool sameWeights = weightsOf(*home.state, query.model) == weights;
    if (sameWeights && wasThere(*home.state, isKept ? SurelyHeldFor : HeldFor)) {
        reading.fetchFrom = home.state->entry.endpoint;
        reading.ms += shared / m_rates.engineTokensPerMs;
    } else if (isKept) {
        reading.ms += shared / m_rates.keptTokensPerMs;
    } else {
        reading.ms += shared / m_rates.tokensPerMs;
        reading.charge = m_rates.rereadMsPerToken * shared;
    }
    return reading;
}

tl::expected<BackendChoice, NoBackend> BackendBook::choose(const BackendQuery &query,
                                                           TimePoint now) const
{
    const auto service = m_byService.find(query.service);
    if (service == m_byService.end() || service->second.empty()) {
        return tl::make_unexpected(NoBackend{false, now + UnknownPause});
    }
    const auto goalFound = m_goals.find(query.model);
    const bool hasGoals = !query.model.empty() && goalFound != m_goals.end();
    const Goals *goals = hasGoals ? &goalFound->second : nullptr;
    const std::uint64_t least = leastWeights(goals, now);
    std::vector<Open> open;
    open.reserve(service->second.size());
    NoBackend none{true, now + LongestClose};
    const std::string homeKey = query.homeKey();
    const std::uint64_t partHash = homeKey.empty() ? 0 : hashOfText(homeKey);
    for (const EngineId &id : service->second) {
        const State &state = m_states.at(id);
        const std::uint64_t weights = weightsOf(state, query.model);
        if (std::find(query.exclude.begin(), query.exclude.end(), id) != query.exclude.end()
            || weights < least) {
            continue;
        }
        const TimePoint closedUntil = std::max(state.closedUntil, state.loadingUntil);
        if (closedUntil > now) {
            none.retryAt = std::min(none.retryAt, closedUntil);
            continue;
        }
        open.push_back({&state, mix(partHash ^ state.hash),
                        waitOf(state, now) + chargesOf(state, weights, goals, now)});
    }
    if (open.empty()) {
        return tl::make_unexpected(none);
    }
    const bool hasHomes = !homeKey.empty();
    const Open home = *std::max_element(open.begin(), open.end(), [](const Open &a, const Open &b) {
        return a.order < b.order;
    });
    BackendChoice best;
    const State *chosen = nullptr;
    for (const Open &engine : open) {
        Reading reading;
        if (hasHomes) {
            reading = readingAt(engine, home, query, homeKey, now);
        }
        const double cost = engine.cost + reading.ms + reading.charge;
        if (chosen == nullptr || cost < best.costMs) {
            chosen = engine.state;
            best.isHeld = reading.isHeld;
            best.fetchFrom = reading.fetchFrom;
            best.savesShared = reading.savesShared;
            best.costMs = cost;
            best.readMs = reading.ms;
        }
    }
    best.backend = chosen->entry;
    best.weights = weightsOf(*chosen, query.model);
    best.candidates = open.size();
    return best;
}

void BackendBook::sent(const BackendChoice &choice, const BackendQuery &query, TimePoint now)
{
    const auto found = m_states.find(choice.backend.id);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    ++state.inFlight;
    if (state.unanswered++ == 0) {
        state.silentSince = now;
    }
    state.waitingMs += choice.readMs;
    if (!query.sharedPart.empty()) {
        if (static_cast<double>(state.held.size()) > EntriesBeforeCleaning) {
            std::erase_if(state.held,
                          [now](const auto &item) { return now - item.second >= HeldFor; });
        }
        state.held[query.homeKey()] = now;
    }
}

void BackendBook::began(const BackendChoice &choice, TimePoint now)
{
    const auto found = m_states.find(choice.backend.id);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.unanswered = std::max(0, state.unanswered - 1);
    state.waitingMs = state.unanswered == 0 ? 0 : std::max(0.0, state.waitingMs - choice.readMs);
    state.silentSince = now;
}

void BackendBook::ended(const BackendChoice &choice, bool hadBegun, bool failed, TimePoint now)
{
    const auto found = m_states.find(choice.backend.id);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.inFlight = std::max(0, state.inFlight - 1);
    if (!hadBegun) {
        state.unanswered = std::max(0, state.unanswered - 1);
        state.waitingMs =
                state.unanswered == 0 ? 0 : std::max(0.0, state.waitingMs - choice.readMs);
    } else {
        state.silentSince = now;
    }
    constexpr double Weight = 0.2;
    const double age = secondsOf(now - state.failureAt) / secondsOf(FailureHalfLife);
    const double before = state.failurePart > 0 ? state.failurePart * std::exp2(-age) : 0;
    state.failurePart = before + Weight * ((failed ? 1.0 : 0.0) - before);
    state.failureAt = now;
    if (!failed && hadBegun) {
        state.lastClose = Duration::zero();
    }
}

void BackendBook::close(const EngineId &id, TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.lastClose = std::clamp<Duration>(state.lastClose * 2, FirstClose, LongestClose);
    state.closedUntil = std::max(state.closedUntil, now + state.lastClose);
}

void BackendBook::reported(const EngineId &id, int running, int waiting, TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.running = running;
    state.waiting = waiting;
    state.ownAtReport = state.inFlight;
    state.reportedAt = now;
}

void BackendBook::sawWeights(const EngineId &id, const ModelId &model, std::uint64_t version)
{
    const auto found = m_states.find(id);
    if (found != m_states.end()) {
        learnWeights(found->second, model, version);
    }
}

void BackendBook::doubtWeights(const EngineId &id, const ModelId &model, TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end()) {
        return;
    }
    const auto goal = m_goals.find(model);
    if (goal != m_goals.end() && weightsOf(found->second, model) < goal->second.back().version) {
        // Most likely the engine was brought to the newest weights meanwhile.
        learnWeights(found->second, model, goal->second.back().version);
        return;
    }
    close(id, now);
}

std::uint64_t BackendBook::hashOf(const EngineId &id)
{
    return hashOfText(id.str());
}

int BackendBook::inFlight(const EngineId &id) const
{
    const auto found = m_states.find(id);
    return found == m_states.end() ? 0 : found->second.inFlight;
}

} // namespace vanilladyke
