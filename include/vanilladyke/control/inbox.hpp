#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/events.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

namespace vanilladyke {

/// @brief The bounded queue into the control thread.
///
/// When it is full the oldest soft event gives way, and is counted: a flood of load reports must
/// not hold back a bundle or a claim, which are never dropped.
class Inbox
{
public:
    explicit Inbox(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// @brief Adds an event; any thread.
    void post(Event event);
    /// @brief The next event, or none once the deadline has passed.
    [[nodiscard]] std::optional<Event> take(TimePoint deadline);
    /// @brief How many soft events gave way so far.
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
