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

/// @brief Cuts a byte stream into server-sent events, wherever the network cut it. Lines end with
/// LF or CRLF.
class SseParser
{
public:
    void feed(std::string_view bytes);
    /// @brief The next whole event, or none until more bytes come. Comments are left out.
    [[nodiscard]] std::optional<SseEvent> next();
    /// @brief Bytes held that are no whole event yet.
    [[nodiscard]] std::size_t pending() const
    {
        return m_buffer.size() - m_read + m_event.data.size();
    }

private:
    [[nodiscard]] std::optional<std::string_view> nextLine();

    std::string m_buffer;
    std::size_t m_read = 0;    ///< bytes of the buffer that are used up
    std::size_t m_scanned = 0; ///< bytes that are known to hold no line end
    SseEvent m_event;          ///< under construction
    bool m_hasData = false;
};

} // namespace vanilladyke
