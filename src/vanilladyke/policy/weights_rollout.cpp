#include "vanilladyke/policy/weights_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace vanilladyke {

namespace {

/// Lower bound of the measured time of an order, which keeps it plausible whatever engines report.
constexpr Duration ShortestOrder = std::chrono::milliseconds(50);

} // namespace

void WeightsRollout::setTarget(std::uint64_t version, TimePoint now)
{
    if (version > m_target) {
        m_target = version;
        m_announcedAt = now;
        for (auto &[engine, failures] : m_failures) {
            failures.retryAt = now;
        }
    }
}

bool WeightsRollout::isPending(const std::vector<RolloutEngine> &engines) const
{
    return std::any_of(engines.begin(), engines.end(),
                       [this](const RolloutEngine &e) { return e.version < m_target; });
}

RolloutProgress WeightsRollout::progress(const std::vector<RolloutEngine> &engines,
                                         TimePoint now) const
{
    RolloutProgress progress;
    for (const RolloutEngine &engine : engines) {
        if (engine.version >= m_target) {
            continue;
        }
        ++progress.pending;
        progress.ordered += hasOrder(engine.id) ? 1 : 0;
        progress.backingOff += isBackingOff(engine.id, now) ? 1 : 0;
        const int failures = failuresOf(engine.id);
        if (!hasOrder(engine.id)
            && (progress.mostFailed.empty() || failures > progress.mostFailures)) {
            progress.mostFailed = engine.id;
            progress.mostFailures = failures;
        }
    }
    return progress;
}

bool WeightsRollout::isBackingOff(const EngineId &engine, TimePoint now) const
{
    const auto failed = m_failures.find(engine);
    return failed != m_failures.end() && now < failed->second.retryAt;
}

std::size_t WeightsRollout::maxLoadingEngines(std::size_t engines) const
{
    const auto part = static_cast<std::size_t>(m_terms.loadingPart * static_cast<double>(engines));
    return std::max(MinLoading, part);
}

std::size_t WeightsRollout::maxOrders(const std::vector<RolloutEngine> &engines,
                                      TimePoint now) const
{
    const double rounds = TimePart * secondsOf(m_terms.allowed) / secondsOf(m_orderTime);
    const double size = static_cast<double>(engines.size());
    const double regular = std::min(size / rounds, m_terms.orderedPart * size);
    const double slots = std::max(regular, std::min(expeditedOrders(engines, now), size));
    return std::max(maxLoadingEngines(engines.size()), static_cast<std::size_t>(std::ceil(slots)));
}

double WeightsRollout::expeditedOrders(const std::vector<RolloutEngine> &engines,
                                       TimePoint now) const
{
    const double allowed = secondsOf(m_terms.allowed);
    const double elapsed = secondsOf(now - m_announcedAt);
    const double expediteRatio =
            (elapsed / allowed - ExpediteFrom) / (ExpediteFullFrom - ExpediteFrom);
    if (expediteRatio <= 0) {
        return 0;
    }
    const auto unordered =
            std::count_if(engines.begin(), engines.end(), [this](const auto &engine) {
                return engine.version < m_target && !hasOrder(engine.id);
            });
    const double orderTime = secondsOf(m_orderTime);
    const double remaining = std::max(ExpediteDeadlinePart * allowed - elapsed - orderTime,
                                      secondsOf(ShortestOrder));
    const double part =
            m_terms.orderedPart + std::min(expediteRatio, 1.0) * (1 - m_terms.orderedPart);
    const double size = static_cast<double>(engines.size());
    return std::min(static_cast<double>(unordered) * orderTime / remaining, part * size);
}

std::vector<EngineId> WeightsRollout::enginesToOrder(std::vector<RolloutEngine> engines,
                                                     TimePoint now) const
{
    const std::size_t maxLoading = maxLoadingEngines(engines.size());
    const std::size_t maxInProgress = maxOrders(engines, now);
    std::size_t loading = 0;
    std::size_t underOrder = 0;
    for (const RolloutEngine &engine : engines) {
        const auto order = m_orders.find(engine.id);
        if (order != m_orders.end()) {
            ++underOrder;
            loading += order->second.isDraining ? 0 : 1;
        }
    }
    std::erase_if(engines, [&](const RolloutEngine &engine) {
        return engine.version >= m_target || hasOrder(engine.id) || isBackingOff(engine.id, now);
    });
    std::stable_sort(engines.begin(), engines.end(),
                     [this](const RolloutEngine &a, const RolloutEngine &b) {
                         const auto keyOf = [this](const RolloutEngine &each) {
                             return std::tuple(each.version, failuresOf(each.id), each.running);
                         };
                         return keyOf(a) < keyOf(b);
                     });
    std::vector<EngineId> result;
    for (const RolloutEngine &engine : engines) {
        const std::size_t selected = result.size();
        if (loading + selected >= maxLoading || underOrder + selected >= maxInProgress) {
            break;
        }
        result.push_back(engine.id);
    }
    return result;
}

int WeightsRollout::failuresOf(const EngineId &engine) const
{
    const auto found = m_failures.find(engine);
    return found == m_failures.end() ? 0 : found->second.consecutive;
}

void WeightsRollout::setDraining(const EngineId &engine, bool isDraining)
{
    const auto order = m_orders.find(engine);
    if (order != m_orders.end()) {
        order->second.isDraining = isDraining;
    }
}

void WeightsRollout::orderEnded(const EngineId &engine, bool succeeded, TimePoint now)
{
    const auto order = m_orders.find(engine);
    if (succeeded && order != m_orders.end() && order->second.at) {
        constexpr double Weight = 0.3;
        const double took = secondsOf(now - *order->second.at);
        const double mean = secondsOf(m_orderTime) * (1 - Weight) + took * Weight;
        m_orderTime = std::clamp(spanOfSeconds(mean), ShortestOrder, m_terms.allowed);
    }
    m_orders.erase(engine);
    if (succeeded) {
        m_failures.erase(engine);
        return;
    }
    Failures &failures = m_failures[engine];
    failures.retryAt = now + RetryDelay * (1 << std::min(failures.consecutive, MaxDoublings));
    ++failures.consecutive;
}

} // namespace vanilladyke
