#include "vanilladyke/policy/fleet_retry_budget.hpp"

namespace vanilladyke {

namespace {

/// Compensates for the rounding error in sums of many fractions.
constexpr double RoundingTolerance = 1e-9;

} // namespace

void FleetRetryBudget::setNodes(std::size_t nodes, TimePoint now)
{
    const std::size_t next = std::max<std::size_t>(nodes, 1);
    if (next < m_nodes) {
        m_formerNodes = nodesAt(now);
        m_formerUntil = now + m_limits.window;
    }
    m_nodes = next;
}

std::size_t FleetRetryBudget::nodesAt(TimePoint now) const
{
    return now < m_formerUntil ? std::max(m_nodes, m_formerNodes) : m_nodes;
}

FleetRetryBudget::Slice &FleetRetryBudget::current(std::deque<Slice> &slices, TimePoint now) const
{
    const Duration width =
            std::max<Duration>(m_limits.window / Slices, std::chrono::milliseconds(1));
    const std::int64_t number = now.time_since_epoch() / width;
    while (!slices.empty() && slices.front().number < number - Slices) {
        slices.pop_front();
    }
    if (slices.empty() || slices.back().number < number) {
        slices.push_back({number, 0, 0, 0});
    }
    return slices.back();
}

void FleetRetryBudget::countRequest(const ServiceId &service, TimePoint now)
{
    current(m_services[service], now).earned += EarnedFraction * m_limits.ratio;
}

RetryAccount FleetRetryBudget::account(const ServiceId &service, TimePoint now)
{
    std::deque<Slice> &slices = m_services[service];
    const std::int64_t newest = current(slices, now).number;
    RetryAccount result;
    result.nodes = nodesAt(now);
    double spentExtra = 0;
    for (const Slice &each : slices) {
        result.earned += each.number > newest - Slices ? each.earned : 0;
        result.spent += each.spent;
        spentExtra += each.extra;
    }
    if (now - m_startedAt >= m_limits.window) {
        const double part = ExtraFraction * m_limits.extra / static_cast<double>(result.nodes);
        result.extra = std::max(0.0, part - spentExtra);
    }
    return result;
}

bool FleetRetryBudget::spend(const ServiceId &service, TimePoint now)
{
    if (account(service, now).left() + RoundingTolerance < 1) {
        return false;
    }
    std::deque<Slice> &slices = m_services[service];
    Slice &newest = current(slices, now);
    double due = 1;
    for (Slice &each : slices) { // what expires first is spent first
        if (each.number > newest.number - Slices) {
            const double taken = std::min(due, each.earned);
            each.earned -= taken;
            due -= taken;
        }
    }
    newest.extra += due;
    ++newest.spent;
    return true;
}

} // namespace vanilladyke
