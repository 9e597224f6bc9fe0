#pragma once

#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

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

/// @brief The open attempts of one call, at several backend servers at once. The destructor closes
/// their connections without waiting.
class ServiceAttempts
{
public:
    struct Ended
    {
        Endpoint backend;
        Outcome<ServiceAnswer, ExchangeFailure> outcome;
    };

    ServiceAttempts(const ServiceCall &call, BackendTls tls, TimePoint deadline,
                    ReaderThreads &threads);
    ServiceAttempts(const ServiceAttempts &) = delete;
    ServiceAttempts &operator=(const ServiceAttempts &) = delete;
    ~ServiceAttempts();

    void start(const Endpoint &backend);
    /// @brief Waits for the end of any open attempt; there must be one.
    /// @param until no limit if unset, since every attempt ends with the deadline
    /// @return none if no attempt has ended in time
    [[nodiscard]] std::optional<Ended> next(std::optional<TimePoint> until);
    /// @brief How many attempts next() has not returned yet.
    [[nodiscard]] std::size_t open() const { return m_open; }

private:
    struct Shared;
    struct Attempt;

    const std::shared_ptr<Shared> m_shared;
    ReaderThreads &m_threads;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::size_t m_open = 0;
};

} // namespace vanilladyke
