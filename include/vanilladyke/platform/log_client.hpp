#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <concepts>
#include <memory>
#include <string>
#include <string_view>

/// The platform's append-only log.
///
/// Protocol (HTTP/1.1, JSON):
///   POST /v1/logs/{stream}/records           body: the record's bytes
///        201 {"offset": N}
///   GET  /v1/logs/{stream}/records?from=N&limit=M&wait_ms=W
///        200 {"first_offset": F, "next_offset": E,
///             "records": [{"offset": N, "appended_at_ms": T, "data": "BASE64"}]}
///        F is the oldest record still kept, E the offset that the next append will get; with
///        wait_ms the answer is held back until there is a record at `from`, or the time is over.
///        `from` below F reads on from F.
namespace vanilladyke {

/// @brief Why the log gave no answer.
enum class LogError {
    NotSent,    ///< no byte left: the append has not happened
    Unanswered, ///< sent, but no answer came: the append may have happened
    Refused,    ///< the log said no: the append has not happened
    Malformed,  ///< an answer that is none of the protocol's; for an append: may have happened
};

/// @brief The error with the words for the log line.
struct LogFailure
{
    LogError error = LogError::NotSent;
    std::string detail;
};

[[nodiscard]] std::string_view toString(LogError error);

/// @brief Reads the log's answer to an append. @return Malformed if it is none of the protocol's
[[nodiscard]] Outcome<LogOffset, LogFailure> parseAppendAnswer(std::string_view body);
/// @brief Reads one page. @return Malformed if it is none of the protocol's
[[nodiscard]] Outcome<LogPage, LogFailure> parseLogPage(std::string_view body);

/// @brief Anything that appends to and reads from one stream: the HTTP client, or a fake in tests.
/// Both calls block until they are answered or the deadline has passed.
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

/// @brief One stream of the platform's log over HTTP. Each thread needs a client of its own.
class LogClient
{
public:
    /// @param stream the stream's name, such as "bundles" or "claims"
    LogClient(const Endpoint &endpoint, std::string stream);
    LogClient(LogClient &&) noexcept;
    LogClient &operator=(LogClient &&) noexcept;
    ~LogClient();

    /// @brief Appends one record. @return its offset, or whether it may have happened all the same
    [[nodiscard]] Outcome<LogOffset, LogFailure> append(std::string_view data, TimePoint deadline);
    /// @brief Reads from an offset on; waits for a record until shortly before the deadline.
    [[nodiscard]] Outcome<LogPage, LogFailure> read(LogOffset from, TimePoint deadline);
    /// @brief Breaks off a call that is under way, for a stop; any thread may call.
    void cancel();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
