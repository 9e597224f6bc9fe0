#include "vanilladyke/gateway/deadline_header.hpp"

#include <date/date.h>

#include <charconv>
#include <sstream>

namespace vanilladyke {

namespace {

using std::chrono::milliseconds;
using Millis = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Times further away are mistakes, and would overflow when converted to the monotonic clock.
constexpr Duration MaxDistance = std::chrono::hours(24);

std::optional<Millis> parseEpoch(const std::string &text)
{
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return Millis(milliseconds(count));
}

std::optional<Millis> parseRfc3339(const std::string &text)
{
    const bool utc = text.ends_with('Z') || text.ends_with('z');
    std::istringstream in(utc ? text.substr(0, text.size() - 1) : text);
    Millis point;
    in >> date::parse(utc ? "%FT%T" : "%FT%T%Ez", point);
    const bool whole = !in.fail() && in.peek() == std::char_traits<char>::eof();
    return whole ? std::optional(point) : std::nullopt;
}

} // namespace

std::optional<WallTime> parseDeadline(const std::string &text, WallTime now)
{
    auto point = parseEpoch(text);
    if (!point) {
        point = parseRfc3339(text);
    }
    const auto present = std::chrono::time_point_cast<milliseconds>(now);
    const auto maxDistance = std::chrono::duration_cast<milliseconds>(MaxDistance);
    if (!point || *point > present + maxDistance || *point < present - maxDistance) {
        return std::nullopt;
    }
    return WallTime(*point);
}

} // namespace vanilladyke
