#pragma once

#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <optional>
#include <string>

namespace vanilladyke {

/// @brief A caller's request to a plain service, as sent to one of its backend servers.
struct ServiceCall
{
    RequestId request;
    CustomerId customer;
    ServiceId service;
    std::string method;
    std::string target; ///< path and query, from the slash after the service's name
    std::string contentType;
    std::string accept;
    std::string idempotencyKey;
    bool repeat = false; ///< the caller may have sent the key before
    std::string body;
};

/// @brief The service's answer, with any status.
struct ServiceAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
    bool replayed = false; ///< recorded from an earlier call with the same key
};

/// @brief Sends the call once to one backend server and reads the complete answer. The caller's
/// bearer key is not forwarded.
/// @return TimedOut once the deadline has passed
[[nodiscard]] Outcome<ServiceAnswer, ExchangeFailure> sendOnce(const ServiceCall &call,
                                                               const Endpoint &backend,
                                                               const BackendTls &tls,
                                                               TimePoint deadline);

} // namespace vanilladyke
