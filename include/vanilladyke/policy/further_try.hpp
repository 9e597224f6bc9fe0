#pragma once

#include "vanilladyke/base/time.hpp"

#include <optional>
#include <string_view>

/// Decides whether a request may be sent to a further server.
///
/// Load pattern: many servers are busy at once, so that first bytes are late and others refuse. The
/// same answer holds for a try that follows a failed one and for a try beside a silent one. If the
/// two were decided apart, a try could be ended in favour of another one that is then not allowed,
/// and the caller would lose an answer that was on its way. Pure.
namespace vanilladyke {

/// @brief What is known of a request and its tries so far.
struct FurtherTryState
{
    bool isRepeatable = false;     ///< the request may run more than once
    bool retriesRequests = true;   ///< setting: requests may be retried
    bool resumesStreams = true;    ///< setting: interrupted streams may be resumed
    bool hasPartialAnswer = false; ///< the caller has a part of a stream
    bool hasEventId = false;       ///< the part ends with an event after which it can be resumed
    /// The software version that wrote the part is not known, so that none may go on.
    bool isOriginUnknown = false;
    bool isQuarantined = false; ///< engines ended under the request
    bool isCallerGone = false;
    bool isBudgetSpent = false; ///< a try was denied by the retry budget
    bool isAnswered = false;    ///< a server's answer is kept that would end the request alone
    int sends = 0;              ///< tries in which the request was sent
    int mayHaveRun = 0;         ///< those of them in which it may have run, open ones included
    int maxServers = 1;         ///< on which the request may run
    /// No try is under way, and a server that this node left for another one is still there.
    bool canReturn = false;
    int connectFailures = 0; ///< tries in which nothing was sent
    TimePoint deadline;      ///< of the request
};

/// @brief Why no further try is allowed.
enum class FurtherTryDenial {
    CallerGone,
    Deadline, ///< too little time to connect and get an answer
    Quarantined,
    ConnectFailures, ///< too many tries in which nothing was sent
    Sends,           ///< too many tries in which the request was sent
    BudgetSpent,
    NotRepeatable, ///< it may have run and may run once only
    SwitchedOff,   ///< by a setting
    NoEventId,     ///< the caller's part of the stream can't be continued
    UnknownOrigin, ///< nobody knows which software version wrote the caller's part of the stream
    Servers,  ///< it may have run on as many servers as the route allows, and can't return to one
    Answered, ///< a server has answered it
};

/// @brief Limit of tries before a part of an answer was delivered. Servers that refuse without
/// running the request count as well: each such try still adds to their load.
constexpr int MaxSends = 4;
/// @brief Limit of tries once a part of a stream was delivered. It is higher than MaxSends, because
/// a failure then loses what the caller already has.
constexpr int MaxStreamSends = 12;
constexpr int MaxConnectFailures = 6;
/// @brief With less time than this left, no try is started: it could not connect and get an answer.
constexpr Duration MinTimeForTry = std::chrono::milliseconds(30);

/// @brief Why the request may not be sent to a further server; none if it may. The retry budget is
/// taken separately, as that changes it.
[[nodiscard]] std::optional<FurtherTryDenial> denyFurtherTry(const FurtherTryState &state,
                                                             TimePoint now);

/// @brief Pause before the next send of a request of which a part was delivered and that was sent
/// @p sends times. Grows, so that many servers that refuse at once don't use up MaxStreamSends long
/// before the deadline.
[[nodiscard]] Duration pauseBeforeSend(int sends);

[[nodiscard]] std::string_view toString(FurtherTryDenial denial);

} // namespace vanilladyke
