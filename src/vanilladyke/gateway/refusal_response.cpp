#include "vanilladyke/gateway/refusal_response.hpp"

#include "vanilladyke/base/log.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanilladyke {

std::string refusalBody(const Refusal &refusal, const RequestId &request, TimePoint now)
{
    nlohmann::json error{{"reason", toString(refusal.reason)},
                         {"message", refusal.detail},
                         {"ran", toString(refusal.ran)},
                         {"request_id", request.str()}};
    if (refusal.retryAt) {
        const Duration left = std::max(*refusal.retryAt - now, Duration::zero());
        error["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    }
    const nlohmann::json body{{"error", error}};
    // The message may quote the caller's input, which may be invalid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::chrono::seconds retryAfter(const Refusal &refusal, TimePoint now)
{
    const Duration left = refusal.retryAt ? *refusal.retryAt - now : Duration::zero();
    return std::max(std::chrono::ceil<std::chrono::seconds>(left), std::chrono::seconds(1));
}

void writeRefusal(const Refusal &refusal, const RequestId &request, TimePoint now,
                  httplib::Response &response)
{
    response.status = httpStatus(refusal.reason);
    if (refusal.retryAt) {
        response.set_header("Retry-After", std::to_string(retryAfter(refusal, now).count()));
    }
    response.set_content(refusalBody(refusal, request, now), "application/json");
    LogEvent("refused")
            .field("request", request.str())
            .field("reason", toString(refusal.reason))
            .field("ran", toString(refusal.ran))
            .field("detail", refusal.detail);
}

} // namespace vanilladyke
