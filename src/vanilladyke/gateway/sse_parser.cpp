#include "vanilladyke/gateway/sse_parser.hpp"

#include <utility>

namespace vanilladyke {

namespace {

/// The value of a line that starts with the field's name; none for other lines.
std::optional<std::string_view> valueOf(std::string_view line, std::string_view field)
{
    if (!line.starts_with(field)) {
        return std::nullopt;
    }
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

void SseParser::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_read);
    m_scanned -= m_read;
    m_read = 0;
    m_buffer.append(bytes);
}

std::optional<std::string_view> SseParser::nextLine()
{
    const std::size_t end = m_buffer.find('\n', m_scanned);
    if (end == std::string::npos) {
        m_scanned = m_buffer.size();
        return std::nullopt;
    }
    std::string_view line = std::string_view(m_buffer).substr(m_read, end - m_read);
    m_read = end + 1;
    m_scanned = m_read;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<SseEvent> SseParser::next()
{
    while (const auto line = nextLine()) {
        if (line->empty()) {
            SseEvent event = std::exchange(m_event, {});
            if (std::exchange(m_hasData, false)) {
                return event;
            }
        } else if (const auto data = valueOf(*line, "data:")) {
            m_event.data.append(m_hasData ? "\n" : "").append(*data);
            m_hasData = true;
        } else if (const auto id = valueOf(*line, "id:")) {
            m_event.id = *id;
        }
    }
    return std::nullopt;
}

} // namespace vanilladyke
