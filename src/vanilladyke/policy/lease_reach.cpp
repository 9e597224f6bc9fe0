#include "vanilladyke/policy/lease_reach.hpp"

#include <algorithm>

namespace vanilladyke {

void LeaseReach::note(const EngineId &engine, bool hasAnswered, TimePoint now)
{
    const bool wereMostSilent = mostAreSilent();
    m_hasAnswered[engine] = hasAnswered;
    if (!wereMostSilent) {
        m_mostSilentSince = now;
    }
}

void LeaseReach::answered(const EngineId &engine, TimePoint now)
{
    note(engine, true, now);
    m_failures = 0;
    m_silentSince = now;
}

void LeaseReach::failed(const EngineId &engine, TimePoint now)
{
    note(engine, false, now);
    // The first of many may have been asked long after the last answer.
    if (m_failures++ == 0) {
        m_silentSince = std::max(m_silentSince, now - LongestSilence / 2);
    }
}

bool LeaseReach::mostAreSilent() const
{
    const auto silent = std::count_if(m_hasAnswered.begin(), m_hasAnswered.end(),
                                      [](const auto &item) { return !item.second; });
    const auto size = static_cast<std::ptrdiff_t>(m_hasAnswered.size());
    return silent >= LeastFailures && 2 * silent > size;
}

bool LeaseReach::isLost(TimePoint now) const
{
    const bool areAllSilent = m_failures >= LeastFailures && now - m_silentSince >= LongestSilence;
    return areAllSilent || (mostAreSilent() && now - m_mostSilentSince >= LongestSilence);
}

void LeaseReach::handedOn(TimePoint now)
{
    m_pausesUntil = now + Pause;
    forget();
}

void LeaseReach::forget()
{
    m_failures = 0;
    m_hasAnswered.clear();
}

} // namespace vanilladyke
