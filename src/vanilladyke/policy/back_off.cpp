#include "vanilladyke/policy/back_off.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::uint32_t MaxDoublings = 16;

} // namespace

BackOff::BackOff(BackOffIntervals intervals)
    : m_intervals(intervals)
{}

void BackOff::succeeded()
{
    m_failures = 0;
    m_retryAt = TimePoint::min();
}

void BackOff::failed(TimePoint now, Random &random)
{
    const std::uint32_t doublings = std::min(m_failures, MaxDoublings);
    ++m_failures;
    const Duration interval = std::min(m_intervals.max, m_intervals.first * (1U << doublings));
    const double fraction = (1.0 + uniform(random)) / 2;
    m_retryAt = now + std::chrono::duration_cast<Duration>(interval * fraction);
}

} // namespace vanilladyke
