#include "vanilladyke/policy/hot_prefixes.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace vanilladyke {

namespace {

/// Time constant of the rates: follows a shift within seconds and smooths out a single burst.
constexpr double MemorySeconds = 5;
/// Target utilization of a preferred engine, low enough to keep its queue short.
constexpr double WantedUse = 0.6;
/// A preferred engine is removed only if the others stay below this utilization. The hysteresis
/// between the two bounds avoids discarding a warm cache on each small change of the rate.
constexpr double UseAfterLeaving = 0.4;
constexpr double MostPreferredEngines = 4096;

double faded(double work, Duration since)
{
    return work * std::exp(-std::chrono::duration<double>(since).count() / MemorySeconds);
}

} // namespace

std::uint32_t HotPrefixes::countRequest(const ChainHash &prefix, Duration engineTime,
                                        std::uint32_t nodes, TimePoint now)
{
    if (m_tracked.size() >= MostTracked && !m_tracked.contains(prefix)) {
        evictLeastUsed(now);
    }
    Tracked &tracked = m_tracked.try_emplace(prefix, Tracked{0, 1, now}).first->second;
    tracked.work = faded(tracked.work, now - tracked.changedAt) + secondsOf(engineTime);
    tracked.changedAt = now;
    const double enginesFull = tracked.work / MemorySeconds * nodes;
    const double wanted = std::clamp(std::ceil(enginesFull / WantedUse), 1.0, MostPreferredEngines);
    const double least =
            std::clamp(std::ceil(enginesFull / UseAfterLeaving), 1.0, MostPreferredEngines);
    const auto grown = std::max(tracked.preferredCount, static_cast<std::uint32_t>(wanted));
    tracked.preferredCount = std::min(grown, static_cast<std::uint32_t>(std::max(least, wanted)));
    return tracked.preferredCount;
}

std::uint32_t HotPrefixes::preferredCount(const ChainHash &prefix) const
{
    const auto found = m_tracked.find(prefix);
    return found == m_tracked.end() ? 1 : found->second.preferredCount;
}

/// Evicts the less used half in one pass, so that the amortized cost per request stays small.
void HotPrefixes::evictLeastUsed(TimePoint now)
{
    std::vector<double> work;
    work.reserve(m_tracked.size());
    for (const auto &[hash, tracked] : m_tracked) {
        work.push_back(faded(tracked.work, now - tracked.changedAt));
    }
    const auto middle = work.begin() + static_cast<std::ptrdiff_t>(work.size() / 2);
    std::nth_element(work.begin(), middle, work.end());
    const double median = *middle;
    std::erase_if(m_tracked, [&](const auto &item) {
        return faded(item.second.work, now - item.second.changedAt) <= median;
    });
}

} // namespace vanilladyke
