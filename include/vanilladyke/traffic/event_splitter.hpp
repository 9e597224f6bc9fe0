#pragma once

#include <string>
#include <string_view>

/// Splits a stream of server-sent events (SSE) at event boundaries.
namespace vanilladyke {

/// @brief Buffers an incomplete event until its end has been received.
class EventSplitter
{
public:
    /// A server whose event has not ended after so many bytes sends no events.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    /// @brief Appends received bytes. @return all events that are complete, byte for byte
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// @brief Id of the last complete event that had one; empty if none had.
    [[nodiscard]] const std::string &lastId() const { return m_lastId; }
    /// @brief Whether the text holds a complete event.
    /// @param from where to begin: none ends before
    [[nodiscard]] static bool hasEvent(std::string_view text, std::size_t from);
    /// @brief Bytes of the incomplete event.
    [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
    /// @brief Bytes of memory for it.
    [[nodiscard]] std::size_t capacity() const { return m_pending.capacity(); }
    /// @brief Whether the incomplete event is longer than any event may be.
    [[nodiscard]] bool isTooLarge() const { return m_pending.size() > MaxEventBytes; }
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
