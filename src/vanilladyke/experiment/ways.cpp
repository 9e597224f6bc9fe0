#include "vanilladyke/experiment/ways.hpp"

#include "vanilladyke/policy/rendezvous.hpp"

#include <algorithm>
#include <limits>

namespace vanilladyke {

namespace {

constexpr std::size_t ViewBytes = 8U << 20U;
constexpr Incarnation FirstLife{1};

PlacementRequest placementOf(const SimRequest &request, const std::vector<EngineId> &excluded)
{
    return {request.customerId,   experimentModel(),          request.chain, request.promptTokens,
            request.answerTokens, request.firstTokenDeadline, excluded};
}

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

const ModelId &experimentModel()
{
    static const ModelId model("copy");
    return model;
}

Fleet makeFleet(const Deployment &deployment)
{
    Fleet fleet;
    auto bundle = std::make_shared<Bundle>();
    bundle->objective = deployment.objective;
    fleet.bundle = std::move(bundle);
    fleet.liveNodes = static_cast<std::uint32_t>(deployment.nodes);
    for (std::size_t i = 0; i < deployment.engines; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.key = engineKeyOf(engine.id);
        engine.incarnation = FirstLife;
        engine.state = EngineState::Ready;
        engine.models = {experimentModel()};
        engine.slots = deployment.engine.slots;
        engine.load.prefillTokensPerSecond = deployment.engine.prefillTokensPerSecond;
        engine.load.decodeTokensPerSecond = deployment.engine.decodeTokensPerSecond;
        fleet.engines.push_back(std::move(engine));
    }
    fleet.index = indexEngines(fleet.engines, nullptr);
    return fleet;
}

SimpleNode::SimpleNode(const Deployment &deployment, std::uint64_t seed)
    : m_fleet(makeFleet(deployment))
    , m_random(seed)
{}

void SimpleNode::reported(std::size_t engine, const LoadReport &load)
{
    m_fleet.engines[engine].load = load;
}

void SimpleNode::firstToken(std::size_t index, const SimRequest & /*request*/,
                            std::size_t /*cachedTokens*/, TimePoint /*now*/)
{
    m_inFlight.firstToken(m_tickets.at(index));
}

void SimpleNode::finished(std::size_t index, TimePoint /*now*/)
{
    const auto found = m_tickets.find(index);
    m_inFlight.finish(found->second);
    m_tickets.erase(found);
}

void SimpleNode::send(std::size_t index, std::size_t engine, const SimRequest &request,
                      TimePoint now)
{
    m_tickets[index] = m_inFlight.start(m_fleet.engines[engine].key, request.promptTokens, now);
    m_pending.push_back({index, engine});
}

void SimpleNode::decide(TimePoint /*now*/, std::vector<NodeDecision> &decisions)
{
    decisions.insert(decisions.end(), m_pending.begin(), m_pending.end());
    m_pending.clear();
}

RoundRobinNode::RoundRobinNode(const Deployment &deployment, std::uint64_t seed)
    : SimpleNode(deployment, seed)
    , m_next(uniformBelow(random(), deployment.engines))
{}

void RoundRobinNode::offer(std::size_t index, const SimRequest &request, TimePoint now)
{
    send(index, m_next, request, now);
    m_next = (m_next + 1) % fleet().engines.size();
}

void LeastLoadedNode::offer(std::size_t index, const SimRequest &request, TimePoint now)
{
    std::size_t best = 0;
    double least = std::numeric_limits<double>::max();
    const std::size_t start = uniformBelow(random(), fleet().engines.size());
    for (std::size_t i = 0; i < fleet().engines.size(); ++i) {
        const std::size_t each = (start + i) % fleet().engines.size();
        const EngineView &engine = fleet().engines[each];
        const UnreportedWork own = inFlight().since(engine.key, engine.load.measuredAt);
        const double queued =
                static_cast<double>(engine.load.queuedPrefillTokens + own.prefillTokens)
                / engine.load.prefillTokensPerSecond;
        const double taken = engine.load.running + engine.load.waiting + own.requests;
        const double load = queued + taken / engine.slots;
        if (load < least) {
            least = load;
            best = each;
        }
    }
    send(index, best, request, now);
}

void PrefixHashNode::offer(std::size_t index, const SimRequest &request, TimePoint now)
{
    const auto levels = sharedLevels(request.chain);
    const ModelEngines &engines = *fleet().index->serving(experimentModel());
    send(index, rendezvousOrder(engines, levels->shared.hash, 1).front(), request, now);
}

OracleNode::OracleNode(const Deployment &deployment, std::uint64_t seed,
                       std::span<const EngineModel> engines)
    : SimpleNode(deployment, seed)
    , m_engines(engines)
    , m_objective(deployment.objective)
{}

void OracleNode::offer(std::size_t index, const SimRequest &request, TimePoint now)
{
    std::uint32_t most = 0;
    std::vector<Duration> waits;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        most = std::max(most, m_engines[i].cachedTokens(request.chain));
        EngineView view = fleet().engines[i];
        view.load = m_engines[i].load(now);
        waits.push_back(
                predictedWait(view, InFlight(), SlotForecast(), 1, request.answerTokens, now)
                        .longest());
    }
    const double price =
            effectiveRecomputeWeight(m_objective, *std::min_element(waits.begin(), waits.end()));
    std::size_t best = 0;
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const EngineModel &engine = m_engines[i];
        const std::uint32_t cached = engine.cachedTokens(request.chain);
        const double rate = engine.spec().prefillTokensPerSecond;
        const double cost = m_objective.tailWeight * seconds(waits[i])
                            + (request.promptTokens - cached) / rate
                            + price * (most - cached) / rate;
        if (cost < least) {
            least = cost;
            best = i;
        }
    }
    send(index, best, request, now);
}

VanilladykeNode::VanilladykeNode(const Deployment &deployment, std::uint64_t seed)
    : m_fleet(makeFleet(deployment))
    , m_random(seed)
    , m_view(ViewBytes)
{
    for (const EngineView &engine : m_fleet.engines) {
        m_view.setIncarnation(engine.key, engine.incarnation, {});
    }
}

void VanilladykeNode::offer(std::size_t index, const SimRequest &request, TimePoint now,
                            const std::vector<EngineId> &excluded)
{
    const PlacementRequest wanted = placementOf(request, excluded);
    const std::vector<PrefixHolder> holders = m_view.holders(request.chain, now);
    const Placement placement = m_policy.decide(wanted, m_fleet, holders, {}, now, m_random);
    const PlacedRequest placed = m_policy.sent(wanted, m_fleet, placement, now);
    m_placed[index] = placed;
    remember(request, placed, now);
    m_pending.push_back({index, placement.winner->engine});
}

std::optional<Candidate> VanilladykeNode::forecast(const SimRequest &request, TimePoint now,
                                                   const std::vector<EngineId> &excluded)
{
    const std::vector<PrefixHolder> holders = m_view.holders(request.chain, now);
    return m_policy.forecast(placementOf(request, excluded), m_fleet, holders, {}, now, m_random)
            .winner;
}

void VanilladykeNode::decide(TimePoint /*now*/, std::vector<NodeDecision> &decisions)
{
    decisions.insert(decisions.end(), m_pending.begin(), m_pending.end());
    m_pending.clear();
}

void VanilladykeNode::reported(std::size_t engine, const LoadReport &load)
{
    EngineView &view = m_fleet.engines[engine];
    view.load = load;
    view.slotAges = agesAfter(view.slotAges, load);
}

void VanilladykeNode::cacheChanged(std::size_t engine, const std::vector<CacheChange> &changes,
                                   bool gap, TimePoint now)
{
    const EngineView &view = m_fleet.engines[engine];
    if (gap) {
        m_view.markUntrusted(view.key, now);
    }
    for (const CacheChange &change : changes) {
        if (change.stored) {
            m_view.stored(view.key, view.incarnation, change.hash, now);
        } else {
            m_view.evicted(view.key, view.incarnation, change.hash);
        }
    }
}

void VanilladykeNode::firstToken(std::size_t index, const SimRequest &request,
                                 std::size_t cachedTokens, TimePoint now)
{
    PlacedRequest &placed = m_placed.at(index);
    m_policy.firstToken(placed, now);
    m_policy.learn(placed, static_cast<std::uint32_t>(cachedTokens));
    remember(request, placed, now);
}

void VanilladykeNode::remember(const SimRequest &request, const PlacedRequest &placed,
                               TimePoint now)
{
    for (const PrefixCut &cut : request.chain) {
        m_view.stored(placed.engine, placed.incarnation, cut.hash, now);
    }
}

void VanilladykeNode::finished(std::size_t index, TimePoint now)
{
    const auto found = m_placed.find(index);
    m_policy.finished(found->second, now);
    m_placed.erase(found);
}

} // namespace vanilladyke
