#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/claim_client.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/reader_threads.hpp"
#include "vanilladyke/gateway/service_exchange.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"

namespace httplib {
struct Response;
}

namespace vanilladyke {

/// @brief Header set on every answer of a service, to distinguish it from this node's own answers.
inline constexpr const char *ServiceHeader = "X-Service";

/// @brief Adjusts a refusal's `ran` to cover all of the caller's attempts.
///
/// `ran` of the refusal covers this attempt only; an earlier one may still run elsewhere. Only a
/// key that was used for another call rules out that this call was sent.
[[nodiscard]] Refusal withEarlierAttempts(Refusal refusal, const ServiceCall &call);

/// @brief Forwards calls to plain services. Thread-safe.
class ServiceHandler
{
public:
    /// @param claims null if this node has no log; calls that are not repeatable are then refused
    ServiceHandler(Metrics &metrics, BackendTls tls, ClaimClient *claims)
        : m_metrics(metrics)
        , m_tls(std::move(tls))
        , m_claims(claims)
        , m_chain({}, {})
    {}

    void operator()(RequestContext context, ServiceCall call, httplib::Response &response);

private:
    [[nodiscard]] Outcome<ServiceAnswer, Refusal> answer(const RequestContext &context,
                                                         const ServiceCall &call);
    [[nodiscard]] Outcome<ServiceAnswer, Refusal>
    callRepeatable(const RequestContext &context, const Service &service, const ServiceCall &call);
    [[nodiscard]] Outcome<ServiceAnswer, Refusal>
    callAtMostOnce(const RequestContext &context, const Service &service, const ServiceCall &call);
    [[nodiscard]] Outcome<ServiceAnswer, Refusal> callWithPermit(ClaimPermit permit,
                                                                 const Service &service,
                                                                 const ServiceCall &call,
                                                                 TimePoint deadline);
    [[nodiscard]] Outcome<ClaimAnswer, Refusal> claim(const RequestContext &context,
                                                      const ServiceCall &call);

    Metrics &m_metrics;
    const BackendTls m_tls;
    ClaimClient *m_claims;
    SharedRetryBudgets m_retries;
    FilterChain<IdentifyCustomer, SetServiceDeadline> m_chain;
    ReaderThreads m_readers;
};

} // namespace vanilladyke
