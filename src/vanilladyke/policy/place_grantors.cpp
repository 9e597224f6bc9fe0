#include "vanilladyke/policy/place_grantors.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

void PlaceGrantors::setListening(bool isListening, TimePoint now)
{
    if (!isListening) {
        m_listeningSince.reset();
    } else if (!m_listeningSince) {
        m_listeningSince = now;
    }
}

void PlaceGrantors::nodeSeen(std::uint64_t node, bool grants, TimePoint now)
{
    m_nodes[node] = {now, grants, false};
}

bool PlaceGrantors::isLive(const Node &node, TimePoint now) const
{
    return now - node.seenAt <= std::max<Duration>(MinLifetime, m_interval * LifetimeIntervals);
}

std::vector<std::uint64_t> PlaceGrantors::takeGone(TimePoint now)
{
    std::vector<std::uint64_t> gone;
    for (auto &[id, node] : m_nodes) {
        if (!node.isGone && !isLive(node, now)) {
            node.isGone = true;
            gone.push_back(id);
        }
    }
    std::erase_if(m_nodes,
                  [now](const auto &item) { return now - item.second.seenAt > MemberFor; });
    return gone;
}

std::uint64_t PlaceGrantors::grantorOf(std::uint64_t engine, TimePoint now) const
{
    std::uint64_t best = m_self;
    std::uint64_t rank = m_isGranting ? mixBits(engine ^ m_self) : 0;
    for (const auto &[id, node] : m_nodes) {
        const std::uint64_t each = mixBits(engine ^ id);
        if (node.grants && isLive(node, now) && each > rank) {
            best = id;
            rank = each;
        }
    }
    return best;
}

bool PlaceGrantors::isSettledSince(TimePoint then) const
{
    return m_listeningSince && *m_listeningSince + handoverPause() <= then;
}

bool PlaceGrantors::isSettled(TimePoint now) const
{
    return isSettledSince(now);
}

double PlaceGrantors::share(TimePoint now) const
{
    const auto live = std::count_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const auto &item) { return isLive(item.second, now); });
    const double heard = static_cast<double>(live + 1) / static_cast<double>(m_nodes.size() + 1);
    constexpr double Half = 0.5;
    return heard >= Half ? 1 : heard;
}

} // namespace vanilladyke
