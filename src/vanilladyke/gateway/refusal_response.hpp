#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/refusal.hpp"

#include <string>

namespace httplib {
struct Response;
}

/// Formats refusals as HTTP responses.
namespace vanilladyke {

/// @brief The JSON of a refusal: reason, message, whether the request ran, its id and, if retryAt
/// is set, retry_after_ms.
[[nodiscard]] std::string refusalBody(const Refusal &refusal, const RequestId &request,
                                      TimePoint now);

/// @brief Whole seconds until the refusal's retryAt, rounded up; at least 1.
[[nodiscard]] std::chrono::seconds retryAfter(const Refusal &refusal, TimePoint now);

/// @brief Writes status, body and, if retryAt is set, Retry-After; logs the refusal.
void writeRefusal(const Refusal &refusal, const RequestId &request, TimePoint now,
                  httplib::Response &response);

} // namespace vanilladyke
