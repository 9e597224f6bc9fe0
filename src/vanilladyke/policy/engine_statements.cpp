#include "vanilladyke/policy/engine_statements.hpp"

#include <algorithm>

namespace vanilladyke {

void EngineStatements::removeExpired(TimePoint now)
{
    std::erase_if(m_restUntil, [now](const auto &item) { return item.second <= now; });
    std::erase_if(m_leaving,
                  [now](const auto &item) { return now - item.second.saidAt > LeavingRetention; });
    std::erase_if(m_startedAt,
                  [now](const auto &item) { return now - item.second > LeavingRetention; });
}

TimePoint EngineStatements::restAsked(std::uint64_t engine, Duration rest, TimePoint now)
{
    removeExpired(now);
    TimePoint &until = m_restUntil[engine];
    until = std::max(until, now + std::clamp<Duration>(rest, Duration::zero(), MaxRest));
    return until;
}

TimePoint EngineStatements::restUntil(std::uint64_t engine) const
{
    const auto known = m_restUntil.find(engine);
    return known == m_restUntil.end() ? TimePoint() : known->second;
}

bool EngineStatements::leavingSaid(std::uint64_t engine, TimePoint now)
{
    removeExpired(now);
    const auto [known, isNew] = m_leaving.try_emplace(engine, Leaving{now, true});
    known->second.isOwn = true;
    return isNew;
}

bool EngineStatements::received(const LeavingUpdate &update, TimePoint now)
{
    removeExpired(now);
    const TimePoint saidAt = now - update.age;
    const auto start = m_startedAt.find(update.backend);
    if (start != m_startedAt.end() && saidAt <= start->second) {
        return false;
    }
    return m_leaving.try_emplace(update.backend, Leaving{saidAt, false}).second;
}

void EngineStatements::startedAgain(std::uint64_t engine, TimePoint now)
{
    removeExpired(now);
    m_leaving.erase(engine);
    m_restUntil.erase(engine);
    m_startedAt[engine] = now;
}

bool EngineStatements::isLeaving(std::uint64_t engine, TimePoint now) const
{
    const auto known = m_leaving.find(engine);
    return known != m_leaving.end() && now - known->second.saidAt <= LeavingRetention;
}

std::vector<LeavingUpdate> EngineStatements::pendingUpdates(TimePoint now) const
{
    std::vector<LeavingUpdate> updates;
    for (const auto &[engine, leaving] : m_leaving) {
        if (leaving.isOwn && now - leaving.saidAt <= ReportFor) {
            updates.push_back({engine, now - leaving.saidAt});
        }
    }
    return updates;
}

} // namespace vanilladyke
