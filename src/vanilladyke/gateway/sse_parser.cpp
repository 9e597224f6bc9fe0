#include "vanilladyke/gateway/sse_parser.hpp"

namespace vanilladyke {

namespace {

constexpr std::string_view EventEnd = "\n\n";

std::string_view valueOf(std::string_view line)
{
    const std::size_t colon = line.find(':');
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

void addLine(SseEvent &event, std::string_view line)
{
    if (line.starts_with("id:")) {
        event.id = valueOf(line);
    } else if (line.starts_with("data:")) {
        event.data += event.data.empty() ? "" : "\n";
        event.data += valueOf(line);
    }
}

SseEvent parseEvent(std::string_view text)
{
    SseEvent event;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        addLine(event, line);
    }
    return event;
}

} // namespace

std::optional<SseEvent> SseParser::next()
{
    while (true) {
        const std::size_t end = m_buffer.find(EventEnd);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        SseEvent event = parseEvent(std::string_view(m_buffer).substr(0, end));
        m_buffer.erase(0, end + EventEnd.size());
        if (!event.data.empty()) {
            return event;
        }
    }
}

} // namespace vanilladyke
