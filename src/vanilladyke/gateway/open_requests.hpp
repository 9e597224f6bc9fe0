#pragma once

#include "vanilladyke/base/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace vanilladyke {

/// @brief Counts the requests between their arrival and the last byte of their response.
class OpenRequests
{
public:
    void arrived();
    void answered();
    /// @brief Waits until there is none. @return false if the deadline came first
    [[nodiscard]] bool waitForNone(TimePoint deadline);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

} // namespace vanilladyke
