#include "vanilladyke/policy/backend_tracker.hpp"

#include <algorithm>

/// What servers say of themselves in their answers, here or to other nodes: that they leave, rest,
/// fall over, or have a limit.
namespace vanilladyke {

bool BackendTracker::leavingObserved(const EngineId &id, TimePoint now)
{
    return m_statements.leavingSaid(hashOf(id), now);
}

std::vector<LeavingUpdate> BackendTracker::ownLeaving(TimePoint now) const
{
    return m_statements.pendingUpdates(now);
}

std::vector<EngineId> BackendTracker::receivedLeaving(const std::vector<LeavingUpdate> &updates,
                                                      TimePoint now)
{
    std::vector<EngineId> changed;
    for (const LeavingUpdate &each : updates) {
        const auto known = m_byHash.find(each.backend);
        if (m_statements.received(each, now) && known != m_byHash.end()) {
            changed.push_back(known->second->entry.id);
        }
    }
    return changed;
}

TimePoint BackendTracker::restAsked(const EngineId &id, Duration rest, TimePoint now)
{
    return m_statements.restAsked(hashOf(id), rest, now);
}

bool BackendTracker::brittleObserved(const EngineId &id, std::optional<double> rejections,
                                     TimePoint now)
{
    State *const known = find(id);
    if (known == nullptr || !known->brittle.observed(rejections, now)) {
        return false;
    }
    noteBrittleness(*known);
    return true;
}

void BackendTracker::noteBrittleness(const State &state)
{
    const ServiceId &service = state.entry.service;
    if (const auto rejections = state.brittle.rejections()) {
        m_brittleServices[service] = *rejections;
        return;
    }
    const std::vector<const State *> &all = m_byService[service];
    const bool isOver = std::none_of(all.begin(), all.end(), [](const State *each) {
        return each->brittle.rejections().has_value();
    });
    if (isOver) {
        m_brittleServices.erase(service);
    }
}

void BackendTracker::placeDenied(const EngineId &id, TimePoint now)
{
    if (State *const state = find(id)) {
        state->placeDeniedUntil = now + PlacePause;
    }
}

std::optional<double> BackendTracker::rejectionsOf(const EngineId &id) const
{
    const auto known = m_states.find(id);
    return known == m_states.end() ? std::nullopt : known->second.brittle.rejections();
}

std::optional<RoomTerms> BackendTracker::roomTerms(std::uint64_t backend) const
{
    const auto known = m_byHash.find(backend);
    if (known == m_byHash.end()) {
        return std::nullopt;
    }
    const State &state = *known->second;
    return RoomTerms{state.entry.id, state.entry.service, state.entry.slots, state.brittle.since()};
}

int BackendTracker::toldInFlight(std::uint64_t backend) const
{
    const auto known = m_byHash.find(backend);
    return known == m_byHash.end() ? 0 : known->second->inFlight + known->second->peersTold;
}

bool BackendTracker::isBrittle(const EngineId &id) const
{
    const auto known = m_states.find(id);
    return known != m_states.end() && known->second.brittle.rejections().has_value();
}

bool BackendTracker::hasBrittle() const
{
    return std::any_of(m_states.begin(), m_states.end(), [](const auto &item) {
        return item.second.brittle.rejections().has_value();
    });
}

RoomKnowledge BackendTracker::roomKnowledge(const EngineId &id, TimePoint now) const
{
    const auto known = m_states.find(id);
    if (known == m_states.end()) {
        return {};
    }
    const State &state = known->second;
    const bool hasAnswered = state.reportedAt != TimePoint();
    return {state.brittle.rejections().has_value(),
            now < state.loadingUntil,
            hasAnswered,
            state.entry.slots,
            state.inFlight,
            state.peersTold,
            now - state.peersInFlightAt};
}

std::vector<BrittleUpdate> BackendTracker::ownBrittle(TimePoint now) const
{
    std::vector<BrittleUpdate> updates;
    for (const auto &[id, state] : m_states) {
        if (auto each = state.brittle.pendingUpdate(now)) {
            each->backend = state.hash;
            updates.push_back(*each);
        }
    }
    return updates;
}

std::vector<EngineId> BackendTracker::receivedBrittle(const std::vector<BrittleUpdate> &updates,
                                                      TimePoint now)
{
    std::vector<EngineId> changed;
    for (const BrittleUpdate &each : updates) {
        const auto known = m_byHash.find(each.backend);
        if (known != m_byHash.end() && known->second->brittle.received(each, now)) {
            noteBrittleness(*known->second);
            changed.push_back(known->second->entry.id);
        }
    }
    return changed;
}

bool BackendTracker::limitObserved(const EngineId &id, std::optional<double> perSecond,
                                   TimePoint now)
{
    State *const known = find(id);
    return known != nullptr && known->limit.observed(perSecond, now);
}

std::vector<LimitUpdate> BackendTracker::ownLimits(TimePoint now) const
{
    std::vector<LimitUpdate> updates;
    for (const auto &[id, state] : m_states) {
        if (auto each = state.limit.pendingUpdate(now)) {
            each->backend = state.hash;
            updates.push_back(*each);
        }
    }
    return updates;
}

std::vector<EngineId> BackendTracker::receivedLimits(std::uint64_t node,
                                                     const std::vector<LimitUpdate> &updates,
                                                     TimePoint now)
{
    std::vector<EngineId> changed;
    for (const LimitUpdate &each : updates) {
        const auto known = m_byHash.find(each.backend);
        if (known != m_byHash.end() && known->second->limit.received(node, each, now)) {
            changed.push_back(known->second->entry.id);
        }
    }
    return changed;
}

std::optional<double> BackendTracker::limitOf(const EngineId &id) const
{
    const auto known = m_states.find(id);
    return known == m_states.end() ? std::nullopt : known->second.limit.perSecond();
}

bool BackendTracker::hasCapacity(const EngineId &id, TimePoint now) const
{
    const auto known = m_states.find(id);
    if (known == m_states.end()) {
        return true;
    }
    const State &state = known->second;
    if (m_statements.isLeaving(state.hash, now) || now < m_statements.restUntil(state.hash)) {
        return false;
    }
    if (!m_costs.enforcesLimits) {
        return true;
    }
    return state.limit.allows(0, now);
}

} // namespace vanilladyke
