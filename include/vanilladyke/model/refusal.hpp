#pragma once

#include "vanilladyke/base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Refusals: why a request got no answer, whether it may have run, and when to come back.
namespace vanilladyke {

/// @brief Whether any backend server may have acted on the call.
enum class Ran {
    No,      ///< no byte of the call left for a backend server, or the server provably refused it
    Unknown, ///< any doubt
};

/// @brief Why a request was refused.
enum class RefusalReason {
    UnknownCustomer,
    BadRequest,
    TooLarge,
    UnknownModel,
    UnknownService,
    NotReady,
    RateLimited,
    QueueFull,
    TooLate,
    NoBackend,
    BackendFailed,
    RetryBudgetSpent,
    LogUnavailable,
    KeyMissing,
    KeyExpired,
    KeyReused,
    OutcomeUnknown,
    ShuttingDown,
    EndsEngines,   ///< engines ended when they ran the same request
    UnknownOrigin, ///< no node knows which software version began the stream that is to go on
    VersionGone,   ///< no server has the software version that began the stream
};

/// @brief A refusal as the gateway writes it to the caller.
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    std::string detail; ///< plain sentence for the caller; never holds a key
    Ran ran = Ran::No;
    std::optional<TimePoint> retryAt; ///< computed from state; none where coming back is no use
};

/// @brief The reason as it stands in bodies, logs and metrics, such as "rate_limited".
[[nodiscard]] std::string_view toString(RefusalReason reason);
[[nodiscard]] std::string_view toString(Ran ran);

/// @brief The HTTP status that a refusal of this reason carries.
[[nodiscard]] int httpStatus(RefusalReason reason);

} // namespace vanilladyke
