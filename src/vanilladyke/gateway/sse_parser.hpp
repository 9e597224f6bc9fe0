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

/// @brief Cuts a byte stream into server-sent events, wherever the network cut it.
class SseParser
{
public:
    void feed(std::string_view bytes) { m_buffer.append(bytes); }
    /// @brief The next whole event, or none until more bytes come. Comments are left out.
    [[nodiscard]] std::optional<SseEvent> next();
    /// @brief Bytes held that are no whole event yet.
    [[nodiscard]] std::size_t pending() const { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace vanilladyke
