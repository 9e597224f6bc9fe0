#include "vanilladyke/policy/lease_reach.hpp"

#include <algorithm>

namespace vanilladyke {

void LeaseReach::answered(TimePoint now)
{
    m_failures = 0;
    m_silentSince = now;
    m_pause = Duration::zero();
}

void LeaseReach::failed(TimePoint now)
{
    // The first of many may have been asked long after the last answer.
    if (m_failures++ == 0) {
        m_silentSince = std::max(m_silentSince, now - LongestSilence / 2);
    }
}

bool LeaseReach::isLost(TimePoint now) const
{
    return m_failures >= LeastFailures && now - m_silentSince >= LongestSilence;
}

void LeaseReach::handedOn(TimePoint now)
{
    m_pause = std::clamp<Duration>(2 * m_pause, FirstPause, LongestPause);
    m_pausesUntil = now + m_pause;
    m_failures = 0;
}

} // namespace vanilladyke
