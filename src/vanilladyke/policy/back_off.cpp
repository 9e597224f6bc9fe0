#include "vanilladyke/policy/back_off.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::uint32_t MostDoublings = 16;

} // namespace

BackOff::BackOff(BackOffSpans intervals)
    : m_intervals(intervals)
{}

void BackOff::succeeded()
{
    m_failures = 0;
    m_retryAt = TimePoint::min();
}

void BackOff::failed(TimePoint now, Random &random)
{
    const std::uint32_t doublings = std::min(m_failures, MostDoublings);
    ++m_failures;
    const Duration interval = std::min(m_intervals.most, m_intervals.first * (1U << doublings));
    const double fraction = (1.0 + uniform(random)) / 2;
    m_retryAt = now + std::chrono::duration_cast<Duration>(interval * fraction);
}

} // namespace vanilladyke
