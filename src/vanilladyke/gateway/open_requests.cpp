#include "vanilladyke/gateway/open_requests.hpp"

namespace vanilladyke {

void OpenRequests::arrived()
{
    const std::lock_guard lock(m_mutex);
    ++m_count;
}

void OpenRequests::answered()
{
    const std::lock_guard lock(m_mutex);
    --m_count;
    m_changed.notify_all();
}

bool OpenRequests::waitForNone(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, deadline, [this] { return m_count == 0; });
}

} // namespace vanilladyke
