#include "vanilladyke/policy/engine_limit.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

double EngineLimit::rate() const
{
    return std::max(m_perSecond.value_or(0), MinPerSecond);
}

double EngineLimit::burst() const
{
    return std::max(MinBurst, rate() * BurstSeconds);
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

bool EngineLimit::applyObservation(const Observation &observation, TimePoint now)
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
    const bool isChanged = applyObservation(observation, now);
    if (perSecond || isChanged) {
        m_own = observation;
    }
    return isChanged;
}

bool EngineLimit::received(std::uint64_t node, const LimitUpdate &update, TimePoint now)
{
    bool isChanged = false;
    if (update.isObserved) {
        const Observation observation{update.perSecond, now - update.age};
        isChanged = applyObservation(observation, now);
        const bool isOver = isChanged && !m_perSecond;
        if (isOver) {
            m_own.reset(); // otherwise a node that joins later would apply the outdated limit
        }
    }
    if (!m_perSecond) {
        return isChanged;
    }
    std::uint32_t &known = m_othersSent[node];
    const std::uint32_t more = update.sent >= known ? update.sent - known : update.sent;
    known = update.sent;
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
    const double maxDebt = std::max(MinBurst, MaxDebtSeconds * rate());
    m_level = std::max(before - count, -maxDebt);
    m_levelAt = now;
    const double newDebt = std::max(0.0, -m_level) - std::max(0.0, -before);
    m_competitors = std::min(MaxCompetitors, m_competitors * (1 + std::max(0.0, newDebt)));
}

bool EngineLimit::allows(double draw, TimePoint now) const
{
    return !m_perSecond || (levelAt(now) >= 1 && draw * competitorsAt(now) < 1);
}

double EngineLimit::scarcity(TimePoint now) const
{
    return 1 - std::max(0.0, levelAt(now)) / burst();
}

TimePoint EngineLimit::nextAllowedAt(TimePoint now) const
{
    const double missing = 1 - levelAt(now);
    // A token is available, but the draw failed; the next draw may succeed soon.
    const double wait = missing > 0 ? missing / rate() : competitorsAt(now) * 0.02;
    return now + spanOfSeconds(wait);
}

std::optional<LimitUpdate> EngineLimit::pendingUpdate(TimePoint now) const
{
    const bool isOver = m_own && !m_own->perSecond && now - m_own->at > ReportLiftFor;
    if ((!m_own && m_sent == 0) || isOver) {
        return std::nullopt;
    }
    LimitUpdate update;
    update.isObserved = m_own.has_value();
    if (m_own) {
        update.perSecond = m_own->perSecond;
        update.age = now - m_own->at;
    }
    update.sent = m_sent;
    return update;
}

} // namespace vanilladyke
