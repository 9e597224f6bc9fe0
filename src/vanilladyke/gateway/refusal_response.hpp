#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/refusal.hpp"

#include <string>

namespace httplib {
struct Response;
}

/// Refusals as callers read them.
namespace vanilladyke {

/// @brief The JSON of a refusal: reason, message, whether it ran, the request's id and, if a time
/// to come back is known, retry_after_ms.
[[nodiscard]] std::string refusalBody(const Refusal &refusal, const RequestId &request,
                                      TimePoint now);

/// @brief Whole seconds until the refusal's retryAt, rounded up; at least 1.
[[nodiscard]] std::chrono::seconds retryAfter(const Refusal &refusal, TimePoint now);

/// @brief Writes status, body and, if a time to come back is known, Retry-After; logs the refusal.
void writeRefusal(const Refusal &refusal, const RequestId &request, TimePoint now,
                  httplib::Response &response);

} // namespace vanilladyke
