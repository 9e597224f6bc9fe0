#pragma once

#include "vanilladyke/base/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace vanilladyke {

/// @brief Counts requests from their arrival to the last byte of their response.
class OpenRequests
{
public:
    void arrived();
    void answered();
    /// @brief Waits until no request is open. @return false if the deadline passes first
    [[nodiscard]] bool waitForNone(TimePoint deadline);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

} // namespace vanilladyke
