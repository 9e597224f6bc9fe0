#include "vanilladyke/control/claim_events.hpp"

namespace vanilladyke {

bool ClaimWait::deliver(ClaimVerdict verdict)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_abandoned) {
            return false;
        }
        m_verdict = std::move(verdict);
    }
    m_filled.notify_one();
    return true;
}

std::optional<ClaimVerdict> ClaimWait::wait(TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_filled.wait_until(lock, until, [this] { return m_verdict.has_value(); });
    m_abandoned = !m_verdict.has_value();
    return std::move(m_verdict);
}

} // namespace vanilladyke
