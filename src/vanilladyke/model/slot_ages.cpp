#include "vanilladyke/model/slot_ages.hpp"

#include "vanilladyke/model/fleet.hpp"

#include <algorithm>

namespace vanilladyke {

void SlotAges::saw(const LoadReport &load)
{
    const std::uint32_t leftQueue = m_waiting > load.waiting ? m_waiting - load.waiting : 0;
    m_waiting = load.waiting;
    const std::uint32_t before = running();
    if (load.running > before) {
        begin(load.running - before, load.measuredAt);
        return;
    }
    endOldest(before - load.running);
    // Those that left the queue run now, though no more run than before: as many have ended.
    const std::uint32_t replaced = std::min(leftQueue, load.running);
    endOldest(replaced);
    begin(replaced, load.measuredAt);
}

std::uint32_t SlotAges::running() const
{
    std::uint32_t sum = 0;
    for (const RequestGroup &group : m_groups) {
        sum += group.requests;
    }
    return sum;
}

void SlotAges::begin(std::uint32_t requests, TimePoint at)
{
    if (requests == 0) {
        return;
    }
    if (m_groups.size() >= MostGroups) {
        mergeNearest();
    }
    m_groups.push_back({at, requests});
}

void SlotAges::endOldest(std::uint32_t requests)
{
    while (requests > 0 && !m_groups.empty()) {
        RequestGroup &oldest = m_groups.front();
        const std::uint32_t ended = std::min(requests, oldest.requests);
        oldest.requests -= ended;
        requests -= ended;
        if (oldest.requests == 0) {
            m_groups.erase(m_groups.begin());
        }
    }
}

void SlotAges::mergeNearest()
{
    auto nearest = m_groups.begin();
    for (auto each = m_groups.begin(); each + 1 != m_groups.end(); ++each) {
        if ((each + 1)->since - each->since < (nearest + 1)->since - nearest->since) {
            nearest = each;
        }
    }
    const auto next = nearest + 1;
    const double part = static_cast<double>(next->requests) / (nearest->requests + next->requests);
    nearest->since += spanOfSeconds(part * secondsOf(next->since - nearest->since));
    nearest->requests += next->requests;
    m_groups.erase(next);
}

} // namespace vanilladyke
