#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

std::uint64_t groupOf(EngineKey key)
{
    return static_cast<std::uint64_t>(key) % RendezvousGroups;
}

std::uint64_t fingerprintOf(const std::vector<EngineView> &engines)
{
    std::uint64_t sum = engines.size();
    for (const EngineView &engine : engines) {
        sum = mixBits(sum ^ static_cast<std::uint64_t>(engine.key));
        sum = mixBits(sum ^ engine.slots);
        if (engine.state != EngineState::Ready) {
            continue;
        }
        for (const ModelId &model : engine.models) {
            sum = mixBits(sum ^ std::hash<ModelId>{}(model));
        }
    }
    return sum;
}

void sortIntoGroups(ModelEngines &engines)
{
    std::stable_sort(engines.members.begin(), engines.members.end(),
                     [](const RendezvousMember &a, const RendezvousMember &b) {
                         return groupOf(a.key) < groupOf(b.key);
                     });
    for (const RendezvousMember &member : engines.members) {
        ++engines.groupStart[groupOf(member.key) + 1];
    }
    for (std::size_t group = 0; group < RendezvousGroups; ++group) {
        engines.groupStart[group + 1] += engines.groupStart[group];
    }
}

} // namespace

FleetIndex::FleetIndex(const std::vector<EngineView> &engines)
    : m_fingerprint(fingerprintOf(engines))
{
    for (std::uint32_t i = 0; i < engines.size(); ++i) {
        const EngineView &engine = engines[i];
        m_positions.emplace(engine.key, i);
        m_largestSlots = std::max(m_largestSlots, engine.slots);
        if (engine.state != EngineState::Ready) {
            continue;
        }
        for (const ModelId &model : engine.models) {
            m_models[model].members.push_back({engine.key, i});
        }
    }
    for (auto &[model, serving] : m_models) {
        sortIntoGroups(serving);
    }
}

const ModelEngines *FleetIndex::serving(const ModelId &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? nullptr : &found->second;
}

std::optional<std::uint32_t> FleetIndex::position(EngineKey key) const
{
    const auto found = m_positions.find(key);
    return found == m_positions.end() ? std::nullopt : std::optional(found->second);
}

std::shared_ptr<const FleetIndex> indexEngines(const std::vector<EngineView> &engines,
                                               const std::shared_ptr<const FleetIndex> &previous)
{
    if (previous && previous->fingerprint() == fingerprintOf(engines)) {
        return previous;
    }
    return std::make_shared<const FleetIndex>(engines);
}

} // namespace vanilladyke
