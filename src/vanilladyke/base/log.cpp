#include "vanilladyke/base/log.hpp"

#include "vanilladyke/base/log_budget.hpp"
#include "vanilladyke/base/utf8.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <climits>
#include <cstdio>
#include <memory>
#include <mutex>

namespace vanilladyke {

namespace {

constexpr std::string_view NeedsQuotes = " \"=\n\r\t\\";

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

bool isControl(char c)
{
    constexpr unsigned char Space = 0x20;
    constexpr unsigned char Delete = 0x7f;
    return static_cast<unsigned char>(c) < Space || static_cast<unsigned char>(c) == Delete;
}

std::string escaped(char byte)
{
    std::array<char, 5> text{};
    std::snprintf(text.data(), text.size(), "\\x%02x", static_cast<unsigned char>(byte));
    return text.data();
}

/// The first character of a value as it stands between quotes; a byte of none is escaped.
std::string quotedCharacter(std::string_view character)
{
    switch (character.front()) {
    case '"':
    case '\\':
        return std::string("\\").append(character);
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    case '\t':
        return "\t";
    default:
        return isControl(character.front()) ? escaped(character.front()) : std::string(character);
    }
}

std::string quoted(std::string_view value)
{
    std::string result = "\"";
    while (!value.empty()) {
        const std::size_t length = utf8CharacterBytes(value);
        result += length > 0 ? quotedCharacter(value.substr(0, length)) : escaped(value.front());
        value.remove_prefix(std::max<std::size_t>(length, 1));
    }
    result += '"';
    return result;
}

/// Whether a value can be written as it is.
bool isPlain(std::string_view value)
{
    if (value.empty() || value.find_first_of(NeedsQuotes) != std::string_view::npos
        || std::any_of(value.begin(), value.end(), isControl)) {
        return false;
    }
    const auto isAscii = [](char c) { return static_cast<unsigned char>(c) < 0x80; };
    if (std::all_of(value.begin(), value.end(), isAscii)) {
        return true; // nearly all values: the search below costs more for each character
    }
    while (!value.empty()) {
        const std::size_t length = utf8CharacterBytes(value);
        if (length == 0) {
            return false;
        }
        value.remove_prefix(length);
    }
    return true;
}

/// Cuts the line to so many bytes and ends it, between two characters.
void cutLine(std::string *line, std::size_t most)
{
    std::size_t end = most - 1;
    while (end > 0 && (static_cast<unsigned char>((*line)[end]) & 0xc0U) == 0x80U) {
        --end;
    }
    line->resize(end);
    *line += '\n';
}

/// Silent until initializeLog: a program without a log must not write complaints about it.
log4cplus::Logger silentRoot()
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.setLogLevel(log4cplus::OFF_LOG_LEVEL);
    return root;
}

log4cplus::Logger &logger()
{
    static log4cplus::Initializer initializer;
    static log4cplus::Logger instance = silentRoot();
    return instance;
}

std::atomic<std::uint64_t> dropped = 0;
std::atomic<bool> isBounded = false;

/// The budget of all threads.
LogBudget::Verdict takeLine(std::string_view event)
{
    static std::mutex mutex;
    static LogBudget budget;
    const std::lock_guard lock(mutex);
    return budget.take(event, MonotonicClock::now());
}

/// Writes lines to standard output and never waits for its reader. A pipe that is writable has room
/// for a line of up to PIPE_BUF bytes, so that asking first keeps the write from blocking.
class OutputAppender : public log4cplus::Appender
{
public:
    ~OutputAppender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        log4cplus::tostringstream text;
        layout->formatAndAppend(text, event);
        std::string line = text.str();
        if (line.size() > PIPE_BUF) {
            cutLine(&line, PIPE_BUF);
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool hasRoom = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!hasRoom || write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped;
        }
    }
};

} // namespace

std::uint64_t droppedLogLines()
{
    return dropped;
}

void initializeLog(Severity least, std::string_view node, LogTarget target)
{
    log4cplus::Logger &root = logger();
    root.removeAllAppenders();
    const bool isOutput = target == LogTarget::StandardOutput;
    isBounded = isOutput;
    log4cplus::SharedAppenderPtr appender;
    if (isOutput) {
        appender = new OutputAppender;
    } else {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p";
    if (!node.empty()) {
        pattern += " node=" + std::string(node);
    }
    pattern += " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.addAppender(appender);
    root.setLogLevel(levelOf(least));
}

LogEvent::LogEvent(std::string_view event, Severity severity)
    : m_severity(severity)
    , m_enabled(logger().isEnabledFor(levelOf(severity)))
{
    if (m_enabled && isBounded) {
        const LogBudget::Verdict verdict = takeLine(event);
        m_enabled = verdict.isWritten;
        m_omitted = verdict.omitted;
    }
    if (m_enabled) {
        m_line = "event=" + std::string(event);
    }
}

LogEvent::~LogEvent()
{
    if (m_omitted > 0) {
        field("omitted_before", m_omitted);
    }
    if (m_enabled) {
        logger().log(levelOf(m_severity), m_line);
    }
}

LogEvent &LogEvent::field(std::string_view key, std::string_view value)
{
    if (!m_enabled) {
        return *this;
    }
    return raw(key, isPlain(value) ? std::string(value) : quoted(value));
}

LogEvent &LogEvent::field(std::string_view key, const char *value)
{
    return field(key, std::string_view(value));
}

LogEvent &LogEvent::field(std::string_view key, const std::string &value)
{
    return field(key, std::string_view(value));
}

LogEvent &LogEvent::field(std::string_view key, bool value)
{
    return raw(key, value ? "true" : "false");
}

LogEvent &LogEvent::field(std::string_view key, double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return raw(key, text.data());
}

LogEvent &LogEvent::field(std::string_view key, Duration value)
{
    std::array<char, 32> text{};
    const double millis = std::chrono::duration<double, std::milli>(value).count();
    std::snprintf(text.data(), text.size(), "%.3f", millis);
    return raw(key, text.data());
}

LogEvent &LogEvent::raw(std::string_view key, std::string_view value)
{
    if (m_enabled) {
        m_line.append(" ").append(key).append("=").append(value);
    }
    return *this;
}

} // namespace vanilladyke
