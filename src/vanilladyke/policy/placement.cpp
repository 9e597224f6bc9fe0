#include "vanilladyke/policy/placement.hpp"

#include "vanilladyke/policy/rendezvous.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Holders of the longest prefixes that become candidates.
constexpr std::size_t HolderCandidates = 6;
/// Candidates from the rendezvous order after the preferred ones: the overflow of a full engine.
constexpr std::uint32_t SpillCandidates = 2;
constexpr std::uint32_t MostPreferredCandidates = 8;
/// Two random choices find an idle engine nearly as well as a full scan, at bounded cost.
constexpr std::size_t RandomCandidates = 2;
/// Cost differences within these bounds are below the accuracy of delayed load reports.
constexpr double NearTieFraction = 0.05;
constexpr double NearTieSeconds = 0.002;
/// Saving required before a request moves away from the engine with most of its prefix cached.
constexpr double StayFraction = 0.10;
constexpr double StaySeconds = 0.005;
/// Fraction of the time left before the deadline that the predicted slot wait may use; the rest
/// covers prediction errors.
constexpr double SlotWaitPart = 0.5;

/// Wait at the least loaded candidate that adds 1 to the recompute weight; see docs/DECISIONS.md.
constexpr double BusySeconds = 0.1;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

Duration spanOf(double length)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(length));
}

/// Collects candidates, each engine once.
class Candidates
{
public:
    Candidates(const PlacementRequest &request, const Fleet &fleet, const PlacementInputs &inputs)
        : m_request(request)
        , m_fleet(fleet)
        , m_survival(inputs.survival)
    {}

    /// Adds the engine. If it is already there, keeps the estimates with more expected tokens.
    void add(std::size_t engine, std::vector<PrefixEstimate> estimates)
    {
        if (!serves(m_fleet.engines[engine], m_request.model) || excluded(engine)) {
            return;
        }
        const std::uint32_t expected = expectedTokens(estimates);
        const auto found = std::find_if(m_list.begin(), m_list.end(), [&](const Candidate &each) {
            return each.engine == engine;
        });
        Candidate *candidate = found == m_list.end() ? &m_list.emplace_back() : &*found;
        candidate->engine = engine;
        if (expected > candidate->expectedCachedTokens || candidate->estimates.empty()) {
            candidate->estimates = std::move(estimates);
            candidate->expectedCachedTokens = expected;
        }
    }

    [[nodiscard]] bool empty() const { return m_list.empty(); }
    [[nodiscard]] std::vector<Candidate> take() { return std::move(m_list); }

private:
    [[nodiscard]] std::uint32_t expectedTokens(const std::vector<PrefixEstimate> &estimates) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < estimates.size(); ++i) {
            const std::uint32_t next = i + 1 < estimates.size() ? estimates[i + 1].tokens : 0;
            sum += m_survival.fraction(estimates[i].evidence, estimates[i].age)
                   * (estimates[i].tokens - next);
        }
        return static_cast<std::uint32_t>(sum);
    }

    [[nodiscard]] bool excluded(std::size_t engine) const
    {
        const auto &all = m_request.excluded;
        return std::find(all.begin(), all.end(), m_fleet.engines[engine].id) != all.end();
    }

    const PlacementRequest &m_request;
    const Fleet &m_fleet;
    const Survival &m_survival;
    std::vector<Candidate> m_list;
};

std::vector<PrefixEstimate> estimatesOf(const PrefixHolder &holder)
{
    std::vector<PrefixEstimate> estimates;
    estimates.reserve(holder.lengthCount);
    for (std::size_t i = 0; i < holder.lengthCount; ++i) {
        const CachedLength &length = holder.lengths[i];
        estimates.push_back({length.trusted ? Evidence::Known : Evidence::Untrusted, length.age,
                             length.tokens});
    }
    return estimates;
}

/// Adds the holders of the longest prefixes. Ignores entries of another incarnation, even if the
/// view has not received the new one yet: the restarted engine has lost its cache.
void addHolders(const Fleet &fleet, const PlacementInputs &inputs, Candidates &candidates)
{
    std::size_t added = 0;
    for (const PrefixHolder &holder : inputs.holders) {
        const auto position = fleet.index->position(holder.engine);
        if (!position || fleet.engines[*position].incarnation != holder.incarnation) {
            continue;
        }
        candidates.add(*position, estimatesOf(holder));
        if (++added == HolderCandidates) {
            return;
        }
    }
}

/// Adds the preferred engines of the shared prefix. One of them is selected by the deepest shared
/// level, so that the longer prefixes under a hot one are divided among its preferred engines.
void addPreferred(const PlacementRequest &request, const Fleet &fleet, const ModelEngines &engines,
                  const PlacementInputs &inputs, Candidates &candidates)
{
    const auto levels = sharedLevels(request.chain);
    if (!levels) {
        return;
    }
    const std::uint32_t preferredCount = std::min(inputs.preferredCount, MostPreferredCandidates);
    // If the view has a holder of the prefix, a preferred engine without an entry has most likely
    // evicted it.
    const auto &holders = inputs.holders;
    const bool hasHolder =
            !holders.empty() && holders.front().longest().tokens >= levels->shared.tokens;
    const std::vector<std::uint32_t> order =
            rendezvousOrder(engines, levels->shared.hash, preferredCount + SpillCandidates);
    const std::size_t count = std::min<std::size_t>(preferredCount, order.size());
    const auto scoreOf = [&](std::uint32_t engine) {
        const auto key = static_cast<std::uint64_t>(fleet.engines[engine].key);
        return mixBits(levels->deepest.hash.low ^ key);
    };
    const auto preferredOwner = std::max_element(
            order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
            [&](std::uint32_t a, std::uint32_t b) { return scoreOf(a) < scoreOf(b); });
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (order.begin() + static_cast<std::ptrdiff_t>(i) == preferredOwner) {
            candidates.add(order[i], {{hasHolder ? Evidence::PreferredCold : Evidence::Preferred,
                                       Duration::zero(), levels->deepest.tokens}});
        } else if (i < count) {
            candidates.add(order[i],
                           {{hasHolder ? Evidence::PreferredCold : Evidence::PreferredShared,
                             Duration::zero(), levels->shared.tokens}});
        } else {
            candidates.add(order[i], {});
        }
    }
}

void addRandom(const ModelEngines &engines, Random &random, Candidates &candidates)
{
    for (std::size_t i = 0; i < RandomCandidates; ++i) {
        const std::uint64_t pick = uniformBelow(random, engines.members.size());
        candidates.add(engines.members[pick].engine, {});
    }
}

/// Adds all engines; O(engines). Used only if every regular candidate is excluded, so that a
/// request is not refused while another engine is available.
void addAll(const ModelEngines &engines, Candidates &candidates)
{
    for (const RendezvousMember &member : engines.members) {
        candidates.add(member.engine, {});
    }
}

/// Predicts the prefill time, with an import from the kept-cache store where that is faster.
void predictPrefill(Candidate &candidate, const PlacementRequest &request, const KeptPrefix &kept,
                    double tokensPerSecond)
{
    const double missing =
            request.promptTokens - std::min(candidate.expectedCachedTokens, request.promptTokens);
    double length = missing / tokensPerSecond;
    if (kept.tokens > candidate.expectedCachedTokens && kept.tokensPerSecond > 0) {
        const double imported = kept.tokens - candidate.expectedCachedTokens;
        const double importLength = seconds(kept.latency) + imported / kept.tokensPerSecond
                                    + (missing - imported) / tokensPerSecond;
        if (importLength < length) {
            candidate.importedTokens = static_cast<std::uint32_t>(imported);
            length = importLength;
        }
    }
    candidate.prefill = spanOf(length);
}

void predictCosts(std::vector<Candidate> &candidates, const PlacementRequest &request,
                  const Fleet &fleet, const PlacementInputs &inputs, TimePoint now)
{
    std::uint32_t most = 0;
    for (const Candidate &candidate : candidates) {
        most = std::max(most, candidate.expectedCachedTokens);
    }
    Duration leastWait = Duration::max();
    for (Candidate &candidate : candidates) {
        const PredictedWait wait =
                predictedWait(fleet.engines[candidate.engine], inputs.inFlight, inputs.slots,
                              fleet.liveNodes, request.answerTokens, now);
        candidate.wait = wait.longest();
        candidate.slotWait = wait.slot;
        leastWait = std::min(leastWait, candidate.wait);
    }
    const Objective objective = fleet.bundle ? fleet.bundle->objective : Objective{};
    const double recomputeWeight = effectiveRecomputeWeight(objective, leastWait);
    for (Candidate &candidate : candidates) {
        const EngineView &engine = fleet.engines[candidate.engine];
        const double rate = engine.load.prefillTokensPerSecond;
        predictPrefill(candidate, request, inputs.kept, rate);
        const Duration left = request.firstTokenDeadline - now - candidate.prefill;
        candidate.isLate = seconds(candidate.slotWait) > SlotWaitPart * seconds(left);
        const std::uint32_t here = candidate.expectedCachedTokens + candidate.importedTokens;
        candidate.recomputedTokens = most > here ? most - here : 0;
        candidate.cost = objective.tailWeight * seconds(candidate.wait) + seconds(candidate.prefill)
                         + recomputeWeight * candidate.recomputedTokens / rate;
    }
}

bool cheaper(const Candidate &a, const Candidate &b)
{
    return a.cost < b.cost;
}

bool isNearTie(const Candidate &candidate, const Candidate &best)
{
    return candidate.cost <= best.cost * (1 + NearTieFraction) + NearTieSeconds
           && candidate.expectedCachedTokens >= best.expectedCachedTokens;
}

/// Candidates that may be selected: all, unless the cheapest one is unlikely to have a slot in
/// time. Then only candidates with a timely slot that have no queue or have the prefix cached;
/// otherwise a saturated fleet would spend its capacity on recomputing prefixes on every engine.
std::vector<Candidate> eligible(const std::vector<Candidate> &candidates, const Candidate &cheapest)
{
    if (!cheapest.isLate) {
        return candidates;
    }
    std::vector<Candidate> result;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result),
                 [&](const Candidate &each) {
                     const bool isIdle = seconds(each.wait) < BusySeconds;
                     const bool isWarm = each.expectedCachedTokens >= cheapest.expectedCachedTokens;
                     return !each.isLate && (isIdle || isWarm);
                 });
    return result.empty() ? candidates : result;
}

void selectWinner(Placement &placement, Random &random)
{
    const Candidate cheapest =
            *std::min_element(placement.candidates.begin(), placement.candidates.end(), cheaper);
    const std::vector<Candidate> all = eligible(placement.candidates, cheapest);
    const Candidate best = *std::min_element(all.begin(), all.end(), cheaper);
    const Candidate warmest =
            *std::max_element(all.begin(), all.end(), [](const Candidate &a, const Candidate &b) {
                return a.expectedCachedTokens < b.expectedCachedTokens;
            });
    if (warmest.expectedCachedTokens > best.expectedCachedTokens
        && warmest.cost <= best.cost * (1 + StayFraction) + StaySeconds) {
        placement.winner = warmest;
        placement.reason = "stays";
        return;
    }
    std::vector<const Candidate *> ties;
    for (const Candidate &candidate : all) {
        if (isNearTie(candidate, best)) {
            ties.push_back(&candidate);
        }
    }
    placement.winner = *ties[uniformBelow(random, ties.size())];
    placement.reason = ties.size() > 1 ? "near_tie" : "least_cost";
    if (cheapest.isLate && !best.isLate) {
        placement.reason = "in_time";
    }
}

} // namespace

PredictedWait predictedWait(const EngineView &engine, const InFlight &inFlight,
                            const SlotForecast &slots, std::uint32_t nodes,
                            std::uint32_t answerTokens, TimePoint now)
{
    const LoadReport &load = engine.load;
    const UnreportedWork own = inFlight.since(engine.key, load.measuredAt);
    const double drained = seconds(now - load.measuredAt) * load.prefillTokensPerSecond;
    const double queued = std::max(0.0, static_cast<double>(load.queuedPrefillTokens) - drained)
                          + static_cast<double>(own.prefillTokens);
    PredictedWait wait;
    wait.prefill = spanOf(queued / load.prefillTokensPerSecond);
    const double taken = load.running + load.waiting + own.requests
                         + slots.sentByOthers(engine.key, load, nodes, now);
    if (engine.slots > 0 && taken >= engine.slots) {
        wait.slot = slots.untilFree(engine, taken - engine.slots + 1, answerTokens, now);
    }
    return wait;
}

double effectiveRecomputeWeight(const Objective &objective, Duration leastWait)
{
    return objective.recomputeWeight + seconds(leastWait) / BusySeconds;
}

Placement place(const PlacementRequest &request, const Fleet &fleet, const PlacementInputs &inputs,
                TimePoint now, Random &random)
{
    Placement placement;
    const ModelEngines *engines = fleet.index ? fleet.index->serving(request.model) : nullptr;
    if (engines != nullptr) {
        Candidates candidates(request, fleet, inputs);
        addHolders(fleet, inputs, candidates);
        addPreferred(request, fleet, *engines, inputs, candidates);
        addRandom(*engines, random, candidates);
        if (candidates.empty()) {
            addAll(*engines, candidates);
        }
        placement.candidates = candidates.take();
    }
    if (placement.candidates.empty()) {
        placement.reason = "no_engine";
        return placement;
    }
    predictCosts(placement.candidates, request, fleet, inputs, now);
    selectWinner(placement, random);
    return placement;
}

} // namespace vanilladyke
