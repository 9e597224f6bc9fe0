#include "vanilladyke/policy/slot_share.hpp"

#include <algorithm>

namespace vanilladyke {

void SlotShare::update(const SlotReport &report)
{
    const double nodes = std::max(report.nodes, 1U);
    const double equalPart = report.slots / nodes;
    const double free = report.slots - report.busy;
    if (free > 0) {
        m_share = report.own + free / nodes;
    } else {
        m_share = report.own * report.slots / std::max(report.busy, 1.0);
    }
    const double excess = std::max(0.0, m_share - equalPart);
    const double fullness = std::min(1.0, report.busy / std::max(report.slots, 1.0));
    m_share -= GivenBack * excess * fullness;
}

std::uint32_t SlotShare::usable() const
{
    return static_cast<std::uint32_t>(m_share + m_rounding);
}

} // namespace vanilladyke
