#include "vanilladyke/policy/slot_share.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// The fractional parts of its multiples fill [0, 1) evenly, for any number of them.
constexpr double GoldenRatio = 0.6180339887498949;

} // namespace

void SlotShare::update(const SlotReport &report)
{
    const double equalShare = report.slots / std::max(report.nodes, 1U);
    const double free = report.slots - report.busy;
    const double held = std::max(equalShare, std::min(report.own, m_share));
    if (free > FreeMargin * report.slots) {
        // The report may be older than the latest requests of this node. Their slots would be
        // counted twice: as free and as used by this node.
        const double reported = std::min(report.own, m_lastOwn);
        const std::uint32_t takers = report.hasWaiting ? report.waitingNodes : report.nodes;
        m_share = std::max(equalShare, reported + free / std::max(takers, 1U));
    } else {
        const double releasedFraction = free >= 0 ? ReleasedWhenFull : ReleasedWhenOverfull;
        m_share = held - releasedFraction * (held - equalShare);
    }
    m_lastOwn = report.own;
}

std::uint32_t SlotShare::usable(double rounding) const
{
    return static_cast<std::uint32_t>(m_share + rounding);
}

std::uint32_t estimateWaitingNodes(std::size_t waitingPeers, std::size_t reportingPeers, bool here,
                                   std::uint32_t liveNodes)
{
    const double others = std::max(liveNodes, 1U) - 1.0;
    // Without reports every other node may have waiting requests; a share that is too small does
    // less harm.
    const double waiting = reportingPeers == 0 ? 1.0
                                               : static_cast<double>(waitingPeers)
                                                         / static_cast<double>(reportingPeers);
    const double sum = std::ceil(others * waiting) + (here ? 1 : 0);
    return std::max(1U, static_cast<std::uint32_t>(sum));
}

double slotRounding(std::size_t rank, std::size_t nodes, std::size_t engine)
{
    const double byNode =
            static_cast<double>(rank) / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double sum = byNode + static_cast<double>(engine) * GoldenRatio;
    return sum - std::floor(sum);
}

} // namespace vanilladyke
