#include "vanilladyke/gateway/engine_slots.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Rank of this node among the live ones by name; nodes with the same membership view agree on it.
std::size_t rankOf(const Fleet &fleet)
{
    if (fleet.members.empty()) {
        return 0;
    }
    const NodeId &self = fleet.members.front().node;
    return static_cast<std::size_t>(
            std::count_if(fleet.members.begin(), fleet.members.end(), [&](const Member &member) {
                return member.liveness != Liveness::Dead && member.node < self;
            }));
}

bool holdsAny(const std::vector<ModelId> &models, const std::vector<ModelId> &wanted)
{
    return std::find_first_of(models.begin(), models.end(), wanted.begin(), wanted.end())
           != models.end();
}

/// For each model, the estimated number of nodes with queued requests.
std::map<ModelId, std::uint32_t> waitingNodes(const Fleet &fleet,
                                              const std::vector<ModelId> &waitingHere)
{
    std::map<ModelId, std::uint32_t> nodes;
    for (const Model &model : fleet.bundle ? fleet.bundle->models : std::vector<Model>{}) {
        const auto waits = [&](const PeerLoad &peer) {
            return holdsAny(peer.load->waiting, {model.id});
        };
        const auto waiting = static_cast<std::size_t>(
                std::count_if(fleet.peerLoads.begin(), fleet.peerLoads.end(), waits));
        nodes[model.id] = estimateWaitingNodes(waiting, fleet.peerLoads.size(),
                                               holdsAny(waitingHere, {model.id}), fleet.liveNodes);
    }
    return nodes;
}

} // namespace

std::uint32_t EngineSlots::Use::total() const
{
    std::uint32_t sum = 0;
    for (const auto &[model, count] : inFlight) {
        sum += count;
    }
    return sum;
}

void EngineSlots::refresh(const Fleet &fleet, const std::vector<ModelId> &waiting, TimePoint now)
{
    const std::size_t rank = rankOf(fleet);
    const std::map<ModelId, std::uint32_t> waitingByModel = waitingNodes(fleet, waiting);
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
        const EngineView &engine = fleet.engines[i];
        Use &use = m_uses[engine.id];
        use.rounding = slotRounding(rank, fleet.liveNodes, i);
        if (engine.load.measuredAt == use.reportedAt) {
            continue;
        }
        use.reportedAt = engine.load.measuredAt;
        // The report doesn't include requests that this node sent after the engine measured.
        const double own = use.total();
        const double busy = std::max<double>(engine.load.running + engine.load.waiting, own);
        std::uint32_t nodesWaitingHere = 1;
        for (const ModelId &model : engine.models) {
            nodesWaitingHere = std::max(nodesWaitingHere, waitingByModel.at(model));
        }
        use.share.update({static_cast<double>(engine.slots), busy, own, fleet.liveNodes,
                          nodesWaitingHere, holdsAny(engine.models, waiting)});
    }
    m_ejection.enforceCap(fleet, now);
}

std::uint32_t EngineSlots::usable(const EngineView &engine, TimePoint now) const
{
    const auto use = m_uses.find(engine.id);
    if (use == m_uses.end() || m_ejection.ejected(engine.id, now)) {
        return 0;
    }
    // A recovering engine gets at least one request, or it could never recover fully.
    const double allowance = m_ejection.allowance(engine.id, now);
    const std::uint32_t share = use->second.share.usable(use->second.rounding);
    return allowance < 1 ? std::max(1U, static_cast<std::uint32_t>(share * allowance)) : share;
}

bool EngineSlots::full(const EngineView &engine, TimePoint now) const
{
    const auto use = m_uses.find(engine.id);
    return use == m_uses.end() || use->second.total() >= usable(engine, now);
}

std::uint32_t EngineSlots::slotsFor(const ModelId &model, const Fleet &fleet, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::uint32_t sum = 0;
    for (const EngineView &engine : fleet.engines) {
        const auto use = m_uses.find(engine.id);
        if (use == m_uses.end() || !serves(engine, model)) {
            continue;
        }
        const auto own = use->second.inFlight.find(model);
        const std::uint32_t inFlightOfModel = own == use->second.inFlight.end() ? 0 : own->second;
        const std::uint32_t inFlightOfOthers = use->second.total() - inFlightOfModel;
        const std::uint32_t share = usable(engine, now);
        sum += share > inFlightOfOthers ? share - inFlightOfOthers : 0;
    }
    return sum;
}

std::vector<EngineId> EngineSlots::excludedFor(const ModelId &model, const Fleet &fleet,
                                               const std::vector<EngineId> &tried,
                                               TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EngineId> ejected;
    std::vector<EngineId> exhausted;
    bool anyAvailable = false;
    for (const EngineView &engine : fleet.engines) {
        if (!serves(engine, model)) {
            continue;
        }
        if (m_ejection.ejected(engine.id, now)) {
            ejected.push_back(engine.id);
        }
        if (full(engine, now)) {
            exhausted.push_back(engine.id);
        } else if (std::find(tried.begin(), tried.end(), engine.id) == tried.end()) {
            anyAvailable = true;
        }
    }
    return anyAvailable ? exhausted : ejected;
}

void EngineSlots::begin(const EngineId &engine, const ModelId &model)
{
    const std::lock_guard lock(m_mutex);
    ++m_uses[engine].inFlight[model];
}

void EngineSlots::end(const EngineId &engine, const ModelId &model)
{
    const std::lock_guard lock(m_mutex);
    --m_uses.at(engine).inFlight.at(model);
}

void EngineSlots::observe(const ExchangeObservation &observed, const Fleet &fleet, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_ejection.observe(observed, fleet, now)) {
        LogEvent("engine_ejected", Severity::Warning)
                .field("engine", observed.engine.str())
                .field("cause", observed.failed ? "failures" : "slow")
                .field("for", *m_ejection.endsAt(observed.engine, now) - now);
    }
}

std::optional<TimePoint> EngineSlots::earliestReadmission(const ModelId &model, const Fleet &fleet,
                                                          TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::optional<TimePoint> first;
    for (const EngineView &engine : fleet.engines) {
        const auto end = m_ejection.endsAt(engine.id, now);
        if (serves(engine, model) && end && (!first || *end < *first)) {
            first = end;
        }
    }
    return first;
}

} // namespace vanilladyke
