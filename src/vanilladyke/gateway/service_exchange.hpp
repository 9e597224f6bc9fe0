#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/policy/exchange_state.hpp"

#include <string>

/// The exchange of one call with a plain service.
namespace vanilladyke {

/// @brief What goes to a service.
struct ServiceCall
{
    RequestId request;
    CustomerId customer;
    std::string method;
    std::string path; ///< with the query
    std::string contentType;
    std::string idempotencyKey; ///< empty if the caller gave none
    std::string body;
    TimePoint deadline; ///< for the whole answer
};

/// @brief What the service answered, whatever its status.
struct ServiceAnswer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// @brief Sends the call to one backend server after another, until one has got it.
///
/// A call whose connection broke may have run; only a repeatable one is then sent once more.
/// @param state takes in what happened, so that a refusal can say whether the call may have run
/// @return what went wrong with the last try
[[nodiscard]] Outcome<ServiceAnswer, std::string> sendToService(const ServiceCall &call,
                                                                const Service &service,
                                                                ExchangeState *state,
                                                                Random &random);

} // namespace vanilladyke
