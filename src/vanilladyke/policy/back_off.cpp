#include "vanilladyke/policy/back_off.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::uint32_t MostDoublings = 16;

} // namespace

BackOff::BackOff(BackOffSpans spans)
    : m_spans(spans)
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
    const Duration span = std::min(m_spans.most, m_spans.first * (1U << doublings));
    const double part = (1.0 + uniform(random)) / 2;
    m_retryAt = now + std::chrono::duration_cast<Duration>(span * part);
}

} // namespace vanilladyke
