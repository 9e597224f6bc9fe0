#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/claim_client.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/service_exchange.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"

namespace httplib {
struct Response;
}

namespace vanilladyke {

/// @brief Stands in every answer of a service, to tell it from one of this node.
inline constexpr const char *ServiceHeader = "X-Service";

/// @brief What a refusal says of the call, for all tries of its caller.
///
/// A node knows that it sent nothing. An earlier try may still run elsewhere; only a key that was
/// used for another call is known not to have sent this one.
[[nodiscard]] Refusal forAllTries(Refusal refusal, const ServiceCall &call);

/// @brief Passes calls on to the plain services. Any thread.
class ServiceHandler
{
public:
    /// @param claims null if this node has no log; calls that may not be repeated are then refused
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
    [[nodiscard]] Outcome<ServiceAnswer, Refusal> callUnder(ClaimPermit permit,
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
};

} // namespace vanilladyke
