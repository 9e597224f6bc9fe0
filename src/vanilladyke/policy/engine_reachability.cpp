#include "vanilladyke/policy/engine_reachability.hpp"

#include <algorithm>

namespace vanilladyke {

void EngineReachability::record(const EngineId &engine, bool hasAnswered, TimePoint now)
{
    const bool wasMajorityUnresponsive = isMajorityUnresponsive();
    m_hasAnswered[engine] = hasAnswered;
    if (!wasMajorityUnresponsive) {
        m_majorityUnresponsiveSince = now;
    }
}

void EngineReachability::answered(const EngineId &engine, TimePoint now)
{
    record(engine, true, now);
    m_failures = 0;
    m_unansweredSince = now;
}

void EngineReachability::failed(const EngineId &engine, TimePoint now)
{
    record(engine, false, now);
    // The first query may have been sent long after the last answer; that time must not count.
    if (m_failures++ == 0) {
        m_unansweredSince = std::max(m_unansweredSince, now - UnreachableAfter / 2);
    }
}

bool EngineReachability::isMajorityUnresponsive() const
{
    const auto unresponsive = std::count_if(m_hasAnswered.begin(), m_hasAnswered.end(),
                                            [](const auto &item) { return !item.second; });
    const auto size = static_cast<std::ptrdiff_t>(m_hasAnswered.size());
    return unresponsive >= MinFailures && 2 * unresponsive > size;
}

bool EngineReachability::isUnreachable(TimePoint now) const
{
    const bool areAllUnresponsive =
            m_failures >= MinFailures && now - m_unansweredSince >= UnreachableAfter;
    return areAllUnresponsive
           || (isMajorityUnresponsive() && now - m_majorityUnresponsiveSince >= UnreachableAfter);
}

void EngineReachability::leaseReleased(TimePoint now)
{
    m_pausedUntil = now + ReleasePause;
    reset();
}

void EngineReachability::reset()
{
    m_failures = 0;
    m_hasAnswered.clear();
}

} // namespace vanilladyke
