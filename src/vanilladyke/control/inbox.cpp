#include "vanilladyke/control/inbox.hpp"

#include <algorithm>

namespace vanilladyke {

void Inbox::post(Event event)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_events.size() >= m_capacity) {
            makeRoom();
        }
        m_events.push_back(std::move(event));
    }
    m_filled.notify_one();
}

std::optional<Event> Inbox::take(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    if (!m_filled.wait_until(lock, deadline, [this] { return !m_events.empty(); })) {
        return std::nullopt;
    }
    Event event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

std::uint64_t Inbox::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void Inbox::makeRoom()
{
    const auto oldest = std::find_if(m_events.begin(), m_events.end(), isDroppable);
    if (oldest != m_events.end()) {
        m_events.erase(oldest);
        ++m_dropped;
    }
}

} // namespace vanilladyke
