#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <concepts>
#include <memory>
#include <string>
#include <string_view>

/// Client for the platform's append-only log.
///
/// Protocol (HTTP/1.1, JSON):
///   POST /v1/logs/{stream}/records           body: the record's bytes
///        201 {"offset": N}
///   GET  /v1/logs/{stream}/records?from=N&limit=M&wait_ms=W
///        200 {"first_offset": F, "next_offset": E,
///             "records": [{"offset": N, "appended_at_ms": T, "data": "BASE64"}]}
///        F is the offset of the oldest retained record, E the offset of the next append. With
///        wait_ms the response is delayed until there is a record at `from` or W ms have passed.
///        If `from` is below F, reading starts at F.
namespace vanilladyke {

/// @brief Reason why a call to the log failed.
enum class LogError {
    NotSent,    ///< no byte was sent: the append has not happened
    Unanswered, ///< sent, but no response arrived: the append may have happened
    Refused,    ///< the log rejected the call: the append has not happened
    Malformed,  ///< the response violates the protocol: an append may have happened
};

/// @brief An error with details for the log line.
struct LogFailure
{
    LogError error = LogError::NotSent;
    std::string detail;
};

[[nodiscard]] std::string_view toString(LogError error);

/// @brief Parses the response to an append. @return Malformed if it violates the protocol
[[nodiscard]] Outcome<LogOffset, LogFailure> parseAppendAnswer(std::string_view body);
/// @brief Parses one page of records. @return Malformed if it violates the protocol
[[nodiscard]] Outcome<LogPage, LogFailure> parseLogPage(std::string_view body);

/// @brief Appends to and reads from one stream; modelled by the HTTP client and by fakes in tests.
/// Both calls block until there is a response or the deadline has passed.
template <typename T>
concept LogStream = requires(T &log, std::string_view data, LogOffset from, TimePoint deadline)
{
    {
        log.append(data, deadline)
        } -> std::same_as<Outcome<LogOffset, LogFailure>>;
    {
        log.read(from, deadline)
        } -> std::same_as<Outcome<LogPage, LogFailure>>;
};

/// @brief HTTP client for one stream of the platform's log. Not thread-safe except for cancel();
/// each thread needs its own client.
class LogClient
{
public:
    /// @param stream name of the stream, such as "bundles" or "claims"
    LogClient(const Endpoint &endpoint, std::string stream);
    LogClient(LogClient &&) noexcept;
    LogClient &operator=(LogClient &&) noexcept;
    ~LogClient();

    /// @brief Appends one record. @return its offset, or an error that shows whether the append may
    /// have happened
    [[nodiscard]] Outcome<LogOffset, LogFailure> append(std::string_view data, TimePoint deadline);
    /// @brief Reads records starting at an offset; waits for a record until shortly before the
    /// deadline.
    [[nodiscard]] Outcome<LogPage, LogFailure> read(LogOffset from, TimePoint deadline);
    /// @brief Cancels a call in progress, for shutdown. Thread-safe.
    void cancel();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
