#include "vanilladyke/policy/append_pacer.hpp"

#include <algorithm>

namespace vanilladyke {

void AppendPacer::setLiveNodes(std::uint32_t liveNodes)
{
    m_perSecond = AppendsPerSecond / std::max<std::uint32_t>(liveNodes, 1);
}

bool AppendPacer::tryTake(TimePoint now)
{
    const std::chrono::duration<double> since = now - m_filledAt;
    m_tokens = std::min(AppendBurst, m_tokens + std::max(0.0, since.count()) * m_perSecond);
    m_filledAt = now;
    if (now < m_notBefore || m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

TimePoint AppendPacer::readyAt() const
{
    const std::chrono::duration<double> missing(std::max(0.0, 1 - m_tokens) / m_perSecond);
    // Rounded up, since a caller that wakes up early would be refused and have to retry.
    return std::max(m_notBefore,
                    m_filledAt + std::chrono::ceil<std::chrono::milliseconds>(missing));
}

void AppendPacer::failed(TimePoint now)
{
    m_pause = std::clamp(2 * m_pause, FirstAppendPause, LongestAppendPause);
    m_notBefore = now + m_pause;
}

} // namespace vanilladyke
