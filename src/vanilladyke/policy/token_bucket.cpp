#include "vanilladyke/policy/token_bucket.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr double RoundingTolerance = 1e-3;

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, TimePoint now)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_level(burst)
    , m_at(now)
{}

void TokenBucket::configure(double perSecond, double burst, TimePoint now)
{
    m_level = std::min(level(now), burst);
    m_at = now;
    m_perSecond = perSecond;
    m_burst = burst;
}

double TokenBucket::level(TimePoint now) const
{
    return std::min(m_burst, m_level + m_perSecond * secondsOf(std::max(now - m_at, Duration(0))));
}

double TokenBucket::needed(double amount, double spare) const
{
    return std::min(amount, m_burst) + spare;
}

bool TokenBucket::take(double amount, TimePoint now, double spare)
{
    const double present = level(now);
    // Levels are sums of many fractions; without the tolerance a caller that retries exactly at the
    // given time could fail because of a rounding error.
    if (present + RoundingTolerance < needed(amount, spare)) {
        return false;
    }
    m_level = present - amount;
    m_at = std::max(now, m_at);
    return true;
}

TimePoint TokenBucket::availableAt(double amount, TimePoint now, double spare) const
{
    const double missing = needed(amount, spare) - level(now);
    if (missing <= 0) {
        return now;
    }
    return m_perSecond > 0 ? now + spanOfSeconds(missing / m_perSecond) : TimePoint::max();
}

} // namespace vanilladyke
