#include "vanilladyke/traffic/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace vanilladyke {

namespace {

/// Bytes of the longest line end between two events, less one: where so many bytes of the text
/// before are looked at again, an end that came in two pieces is found.
constexpr std::size_t Overlap = 3;

/// Offset just past the last complete event; 0 if none ends after @p from.
std::size_t endOfCompleteEvents(std::string_view text, std::size_t from)
{
    // What was searched is not searched again: an event that doesn't end would cost the square of
    // its length.
    const std::size_t begin = from - std::min(from, Overlap);
    const std::string_view rest = text.substr(begin);
    std::size_t end = 0;
    for (const std::string_view blank : {std::string_view("\n\n"), std::string_view("\r\n\r\n")}) {
        const std::size_t at = rest.rfind(blank);
        if (at != std::string_view::npos) {
            end = std::max(end, begin + at + blank.size());
        }
    }
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    const std::size_t searched = m_pending.size();
    m_pending.append(bytes);
    const std::size_t end = endOfCompleteEvents(m_pending, searched);
    std::string whole = m_pending.substr(0, end);
    m_pending.erase(0, end);
    readIds(whole);
    return whole;
}

bool EventSplitter::hasEvent(std::string_view text, std::size_t from)
{
    return endOfCompleteEvents(text, from) > 0;
}

std::string EventSplitter::takePending()
{
    return std::exchange(m_pending, {});
}

void EventSplitter::readIds(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t end = std::min(events.find('\n', begin), events.size());
        std::string_view line = events.substr(begin, end - begin);
        begin = end + 1;
        if (line.substr(0, Field.size()) != Field) {
            continue;
        }
        line.remove_prefix(Field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        m_lastId = std::string(line);
    }
}

} // namespace vanilladyke
