#include "vanilladyke/policy/brittle_engine.hpp"

namespace vanilladyke {

void BrittleEngine::presume(double rejections, TimePoint now)
{
    m_rejections = rejections;
    m_since = now;
}

bool BrittleEngine::apply(const Observation &observation, TimePoint now)
{
    const bool isLater = !m_rejections || observation.rejections;
    if (observation.at <= (isLater ? m_observedAt : m_observedAt + EndMargin)) {
        return false;
    }
    m_observedAt = observation.at;
    if (m_rejections == observation.rejections) {
        return false;
    }
    m_since = m_rejections ? m_since : now;
    m_rejections = observation.rejections;
    return true;
}

bool BrittleEngine::observed(std::optional<double> rejections, TimePoint now)
{
    if (!rejections && !m_rejections) {
        return false;
    }
    const Observation observation{rejections, now};
    const bool hasChanged = apply(observation, now);
    if (rejections || hasChanged) {
        m_own = observation;
    }
    return hasChanged;
}

bool BrittleEngine::received(const BrittleUpdate &update, TimePoint now)
{
    const bool hasChanged = apply({update.rejections, now - update.age}, now);
    if (hasChanged && !m_rejections) {
        m_own.reset(); // otherwise a node that joins later would apply the outdated statement
    }
    return hasChanged;
}

std::optional<TimePoint> BrittleEngine::since() const
{
    return m_rejections ? std::optional(m_since) : std::nullopt;
}

std::optional<BrittleUpdate> BrittleEngine::pendingUpdate(TimePoint now) const
{
    const bool isOver = m_own && !m_own->rejections && now - m_own->at > ReportEndFor;
    if (!m_own || isOver) {
        return std::nullopt;
    }
    BrittleUpdate update;
    update.rejections = m_own->rejections;
    update.age = now - m_own->at;
    return update;
}

} // namespace vanilladyke
