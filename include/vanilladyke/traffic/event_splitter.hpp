#pragma once

#include <string>
#include <string_view>

/// Splits a stream of server-sent events (SSE) at event boundaries.
namespace vanilladyke {

/// @brief Buffers an incomplete event until its end has been received.
class EventSplitter
{
public:
    /// @brief Appends received bytes. @return all events that are complete, byte for byte
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// @brief Id of the last complete event that had one; empty if none had.
    [[nodiscard]] const std::string &lastId() const { return m_lastId; }
    /// @brief Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPending() const { return !m_pending.empty(); }
    /// @brief Returns the bytes of the incomplete event and clears the buffer.
    [[nodiscard]] std::string takePending();

private:
    void readIds(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
};

} // namespace vanilladyke
