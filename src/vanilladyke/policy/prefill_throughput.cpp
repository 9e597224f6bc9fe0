#include "vanilladyke/policy/prefill_throughput.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Weight of older samples after each new one: an effective window of some fifty samples.
constexpr double ForgettingFactor = 0.98;
/// The initial values have the weight of two samples at each of two lengths.
constexpr double PriorWeight = 2;
constexpr double PriorShort = 500;
constexpr double PriorLong = 8000;
constexpr double MaxSampleRatio = 3;
constexpr double SlowdownWeight = 0.15;

} // namespace

PrefillThroughput::PrefillThroughput()
{
    for (const double tokens : {PriorShort, PriorLong}) {
        add(PriorWeight, tokens, predict(tokens).count());
    }
}

void PrefillThroughput::add(double weight, double tokens, double millis)
{
    m_weight += weight;
    m_x += weight * tokens;
    m_y += weight * millis;
    m_xx += weight * tokens * tokens;
    m_xy += weight * tokens * millis;
}

void PrefillThroughput::observed(double tokens, Millis took)
{
    if (!(tokens >= 0) || !(took.count() > 0)) {
        return;
    }
    const double millis = std::min(took.count(), MaxSampleRatio * predict(tokens).count());
    for (double *sum : {&m_weight, &m_x, &m_y, &m_xx, &m_xy}) {
        *sum *= ForgettingFactor;
    }
    add(1, tokens, millis);
    fit();
}

void PrefillThroughput::fit()
{
    const double spread = m_weight * m_xx - m_x * m_x;
    const bool isLine = spread > 1e-6 * m_weight * m_xx;
    const double mean = m_y / std::max(m_x, 1.0);
    const double slope = isLine ? (m_weight * m_xy - m_x * m_y) / spread : mean;
    m_perToken = std::clamp(slope, 1 / MaxTokensPerMs, 1 / MinTokensPerMs);
    m_fixed = Millis(std::max(0.0, (m_y - m_perToken * m_x) / m_weight));
}

void RequestDuration::observed(Millis took)
{
    constexpr double Weight = 0.05;
    m_mean += Weight * (std::clamp(took, Min, Max) - m_mean);
}

void EngineSlowdown::observed(double ratio, TimePoint now)
{
    const double bounded = std::clamp(ratio, Min, Max);
    m_log = (1 - SlowdownWeight) * std::log(factor(now)) + SlowdownWeight * std::log(bounded);
    m_at = now;
}

double EngineSlowdown::factor(TimePoint now) const
{
    if (m_log == 0) {
        return 1;
    }
    const double age = std::max(0.0, secondsOf(now - m_at) / secondsOf(HalfLife));
    return std::exp(m_log * std::exp2(-age));
}

} // namespace vanilladyke
