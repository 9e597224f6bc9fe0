#include "vanilladyke/policy/second_send_budget.hpp"

#include <algorithm>

namespace vanilladyke {

SecondSendBudget::Slice &SecondSendBudget::current(std::deque<Slice> &slices, TimePoint now) const
{
    const Duration width =
            std::max<Duration>(m_terms.window / Slices, std::chrono::milliseconds(1));
    const std::int64_t number = now.time_since_epoch() / width;
    while (!slices.empty() && slices.front().number < number - Slices) {
        slices.pop_front();
    }
    if (slices.empty() || slices.back().number < number) {
        slices.push_back({number, 0, 0});
    }
    return slices.back();
}

void SecondSendBudget::countRequest(const ServiceId &service, TimePoint now)
{
    ++current(m_services[service], now).requests;
}

bool SecondSendBudget::spend(const ServiceId &service, TimePoint now)
{
    std::deque<Slice> &slices = m_services[service];
    Slice &slice = current(slices, now);
    int requests = 0;
    int spent = 0;
    for (const Slice &each : slices) {
        const bool leaving = each.number == slice.number - Slices;
        requests += leaving ? 0 : each.requests;
        spent += each.spent;
    }
    const double extra =
            m_terms.extra / static_cast<double>(std::max<std::size_t>(m_terms.nodes, 1));
    if (spent + 1 > Margin * (m_terms.ratio * requests + extra)) {
        return false;
    }
    ++slice.spent;
    return true;
}

} // namespace vanilladyke
