#include "vanilladyke/policy/engine_limit.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

double EngineLimit::rate() const
{
    return std::max(m_perSecond.value_or(0), LeastPerSecond);
}

double EngineLimit::burst() const
{
    return std::max(LeastBurst, rate() * BurstSeconds);
}

double EngineLimit::levelAt(TimePoint now) const
{
    const double since = secondsOf(now - m_levelAt);
    return std::min(burst(), m_level + std::max(since, 0.0) * rate());
}

double EngineLimit::competitorsAt(TimePoint now) const
{
    const double filled = m_level + std::max(secondsOf(now - m_levelAt), 0.0) * rate();
    const double unused = std::max(0.0, filled - std::max(m_level, 1.0));
    return std::max(1.0, m_competitors * std::exp2(-unused));
}

bool EngineLimit::believe(const Observation &observation, TimePoint now)
{
    const bool isNew = !m_perSecond || observation.perSecond;
    const TimePoint from = isNew ? m_observedAt : m_observedAt + LiftMargin;
    if (observation.at <= from) {
        return false;
    }
    m_observedAt = observation.at;
    if (m_perSecond == observation.perSecond) {
        return false;
    }
    const bool begins = !m_perSecond.has_value();
    const double level = begins ? 0 : levelAt(now);
    m_perSecond = observation.perSecond;
    m_level = std::min(level, burst());
    m_levelAt = now;
    if (!m_perSecond) {
        m_sent = 0;
        m_othersSent.clear();
        m_competitors = 1;
    }
    return true;
}

bool EngineLimit::observed(std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond && !m_perSecond) {
        return false;
    }
    const Observation observation{perSecond, now};
    const bool isChanged = believe(observation, now);
    if (perSecond || isChanged) {
        m_own = observation;
    }
    return isChanged;
}

bool EngineLimit::heard(std::uint64_t node, const LimitNews &news, TimePoint now)
{
    bool isChanged = false;
    if (news.isObserved) {
        const Observation observation{news.perSecond, now - news.age};
        isChanged = believe(observation, now);
        const bool isOver = isChanged && !m_perSecond;
        if (isOver) {
            m_own.reset(); // otherwise a node that joins later would apply the outdated limit
        }
    }
    if (!m_perSecond) {
        return isChanged;
    }
    std::uint32_t &known = m_othersSent[node];
    const std::uint32_t more = news.sent >= known ? news.sent - known : news.sent;
    known = news.sent;
    if (more > 0) {
        take(more, now);
    }
    return isChanged;
}

void EngineLimit::sent(TimePoint now)
{
    if (m_perSecond) {
        ++m_sent;
        take(1, now);
    }
}

void EngineLimit::take(double count, TimePoint now)
{
    m_competitors = competitorsAt(now);
    const double before = levelAt(now);
    const double mostDebt = std::max(LeastBurst, MostDebtSeconds * rate());
    m_level = std::max(before - count, -mostDebt);
    m_levelAt = now;
    const double newDebt = std::max(0.0, -m_level) - std::max(0.0, -before);
    m_competitors = std::min(MostCompetitors, m_competitors * (1 + std::max(0.0, newDebt)));
}

bool EngineLimit::allows(double draw, TimePoint now) const
{
    return !m_perSecond || (levelAt(now) >= 1 && draw * competitorsAt(now) < 1);
}

double EngineLimit::scarcity(TimePoint now) const
{
    return 1 - std::max(0.0, levelAt(now)) / burst();
}

TimePoint EngineLimit::opensAt(TimePoint now) const
{
    const double missing = 1 - levelAt(now);
    // A token is available, but the draw failed; the next draw may succeed soon.
    const double wait = missing > 0 ? missing / rate() : competitorsAt(now) * 0.02;
    return now + spanOfSeconds(wait);
}

std::optional<LimitNews> EngineLimit::toTell(TimePoint now) const
{
    const bool isOver = m_own && !m_own->perSecond && now - m_own->at > TellLiftFor;
    if ((!m_own && m_sent == 0) || isOver) {
        return std::nullopt;
    }
    LimitNews news;
    news.isObserved = m_own.has_value();
    if (m_own) {
        news.perSecond = m_own->perSecond;
        news.age = now - m_own->at;
    }
    news.sent = m_sent;
    return news;
}

} // namespace vanilladyke
