#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// Structured log: one line of key=value pairs for each event, written through log4cplus.
namespace vanilladyke {

/// @brief How much an event matters to a reader of the log.
enum class Severity { Debug, Info, Warning, Error };

/// @brief Where lines go.
enum class LogTarget {
    StandardError,
    /// Bounded for each kind of event, and a line that the reader has no room for is dropped and
    /// counted: a stuck reader must not stop the node.
    StandardOutput,
};

/// @brief Sends all log lines there from now on. Call once at start.
/// @param least events below this are left out
/// @param node stands in each line as node=…; empty leaves it out
void initializeLog(Severity least, std::string_view node,
                   LogTarget target = LogTarget::StandardError);

/// @brief Lines that were dropped since standard output had no room.
[[nodiscard]] std::uint64_t droppedLogLines();

/// @brief One event under construction; the line is written when the object ends.
///
/// Values that hold spaces, quotes or '=' are quoted, so that a line can always be split again. So
/// are values with control characters or bytes that are no UTF-8, which are written as \\xNN: a
/// line is always text.
class LogEvent
{
public:
    explicit LogEvent(std::string_view event, Severity severity = Severity::Info);
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;
    ~LogEvent();

    LogEvent &field(std::string_view key, std::string_view value);
    LogEvent &field(std::string_view key, const char *value);
    LogEvent &field(std::string_view key, const std::string &value);
    LogEvent &field(std::string_view key, bool value);
    LogEvent &field(std::string_view key, double value);
    /// @brief A span, written in milliseconds with three places.
    LogEvent &field(std::string_view key, Duration value);

    template <std::integral Integer>
    LogEvent &field(std::string_view key, Integer value)
    {
        return raw(key, std::to_string(value));
    }

private:
    LogEvent &raw(std::string_view key, std::string_view value);

    Severity m_severity;
    bool m_enabled;
    std::uint32_t m_omitted = 0; ///< lines of this kind that were left out before
    std::string m_line;
};

} // namespace vanilladyke
