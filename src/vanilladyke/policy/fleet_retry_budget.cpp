#include "vanilladyke/policy/fleet_retry_budget.hpp"

#include <algorithm>

namespace vanilladyke {

FleetRetryBudget::Slice &FleetRetryBudget::current(std::deque<Slice> &slices, TimePoint now) const
{
    const Duration width =
            std::max<Duration>(m_limits.window / Slices, std::chrono::milliseconds(1));
    const std::int64_t number = now.time_since_epoch() / width;
    while (!slices.empty() && slices.front().number < number - Slices) {
        slices.pop_front();
    }
    if (slices.empty() || slices.back().number < number) {
        slices.push_back({number, 0, 0});
    }
    return slices.back();
}

void FleetRetryBudget::countRequest(const ServiceId &service, TimePoint now)
{
    ++current(m_services[service], now).requests;
}

RetryAccount FleetRetryBudget::account(const ServiceId &service, TimePoint now)
{
    std::deque<Slice> &slices = m_services[service];
    const std::int64_t newest = current(slices, now).number;
    RetryAccount result;
    result.nodes = m_nodes;
    int requests = 0;
    for (const Slice &each : slices) {
        const bool leaving = each.number == newest - Slices;
        requests += leaving ? 0 : each.requests;
        result.spent += each.spent;
    }
    const double extra = m_limits.extra / static_cast<double>(result.nodes);
    result.left = Margin * (m_limits.ratio * requests + extra) - result.spent;
    return result;
}

bool FleetRetryBudget::spend(const ServiceId &service, TimePoint now)
{
    if (account(service, now).left < 1) {
        return false;
    }
    ++current(m_services[service], now).spent;
    return true;
}

} // namespace vanilladyke
