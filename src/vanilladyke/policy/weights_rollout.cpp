#include "vanilladyke/policy/weights_rollout.hpp"

#include <algorithm>

namespace vanilladyke {

void WeightsRollout::name(std::uint64_t version, TimePoint now)
{
    if (version > m_goal) {
        m_goal = version;
        m_namedAt = now;
        m_notBefore.clear();
    }
}

bool WeightsRollout::isPending(const std::vector<RolloutEngine> &engines) const
{
    return std::any_of(engines.begin(), engines.end(),
                       [this](const RolloutEngine &e) { return e.version < m_goal; });
}

std::vector<EngineId> WeightsRollout::next(std::vector<RolloutEngine> engines, TimePoint now) const
{
    const auto part = static_cast<std::size_t>(LoadingPart * static_cast<double>(engines.size()));
    const std::size_t most = std::max(LeastLoading, part);
    std::size_t loading = 0;
    for (const RolloutEngine &engine : engines) {
        loading += isLoading(engine.id) ? 1 : 0;
    }
    std::erase_if(engines, [&](const RolloutEngine &engine) {
        const auto wait = m_notBefore.find(engine.id);
        return engine.version >= m_goal || isLoading(engine.id)
               || (wait != m_notBefore.end() && now < wait->second);
    });
    std::stable_sort(
            engines.begin(), engines.end(), [](const RolloutEngine &a, const RolloutEngine &b) {
                return a.version != b.version ? a.version < b.version : a.running < b.running;
            });
    std::vector<EngineId> result;
    for (const RolloutEngine &engine : engines) {
        if (loading + result.size() >= most) {
            break;
        }
        result.push_back(engine.id);
    }
    return result;
}

void WeightsRollout::ended(const EngineId &engine, bool succeeded, TimePoint now)
{
    m_loading.erase(engine);
    if (!succeeded) {
        m_notBefore[engine] = now + RetryAfter;
    }
}

} // namespace vanilladyke
