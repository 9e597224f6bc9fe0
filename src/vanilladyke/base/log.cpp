#include "vanilladyke/base/log.hpp"

#include "vanilladyke/base/log_budget.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <poll.h>
#include <unistd.h>

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

std::string quoted(std::string_view value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\r') {
            result += "\\r";
        } else {
            result += c;
        }
    }
    result += '"';
    return result;
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
            line.resize(PIPE_BUF - 1);
            line += '\n';
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
    const bool plain = !value.empty() && value.find_first_of(NeedsQuotes) == std::string_view::npos;
    return raw(key, plain ? std::string(value) : quoted(value));
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
