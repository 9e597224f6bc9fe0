#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/events.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

namespace vanilladyke {

/// @brief Bounded event queue of the control thread. Thread-safe.
///
/// When it is full, the oldest droppable event (isDroppable()) is dropped and counted, so that many
/// load reports can't displace bundles or claims, which are never dropped.
class Inbox
{
public:
    explicit Inbox(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// @brief Adds an event without blocking.
    void post(Event event);
    /// @brief Waits for the next event. @return none if there is none by the deadline
    [[nodiscard]] std::optional<Event> take(TimePoint deadline);
    /// @brief Number of events dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void makeRoom();

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<Event> m_events;
    std::uint64_t m_dropped = 0;
};

} // namespace vanilladyke
