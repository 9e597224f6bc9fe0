#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladyke {

/// @brief One server-sent event.
struct SseEvent
{
    std::string id;
    std::string data;
};

/// @brief Parses a byte stream, received in chunks of any size, into server-sent events. Lines end
/// with LF or CRLF.
class SseParser
{
public:
    void feed(std::string_view bytes);
    /// @brief The next complete event, or none until more bytes are fed. Skips comments.
    [[nodiscard]] std::optional<SseEvent> next();
    /// @brief Buffered bytes that don't form a complete event yet.
    [[nodiscard]] std::size_t pending() const
    {
        return m_buffer.size() - m_read + m_event.data.size();
    }

private:
    [[nodiscard]] std::optional<std::string_view> nextLine();

    std::string m_buffer;
    std::size_t m_read = 0;    ///< bytes of the buffer already consumed
    std::size_t m_scanned = 0; ///< bytes already searched for a line end
    SseEvent m_event;          ///< being assembled
    bool m_hasData = false;
};

} // namespace vanilladyke
