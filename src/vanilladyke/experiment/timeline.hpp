#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace vanilladyke {

/// @brief Virtual time: actions run in order of their time, and of posting among equals.
class Timeline
{
public:
    void at(TimePoint when, std::function<void()> action)
    {
        m_queue.push({when, m_posted++, std::move(action)});
    }

    /// @brief Runs until nothing is left.
    void run()
    {
        while (!m_queue.empty()) {
            Item item = m_queue.top();
            m_queue.pop();
            m_now = item.at;
            item.action();
        }
    }

    [[nodiscard]] TimePoint now() const { return m_now; }

private:
    struct Item
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Item &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    TimePoint m_now;
    std::uint64_t m_posted = 0;
    std::priority_queue<Item> m_queue;
};

} // namespace vanilladyke
