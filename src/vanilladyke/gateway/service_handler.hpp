#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/service_exchange.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"

namespace httplib {
struct Response;
}

namespace vanilladyke {

/// @brief Passes calls on to the plain services. Any thread.
class ServiceHandler
{
public:
    explicit ServiceHandler(Metrics &metrics)
        : m_metrics(metrics)
        , m_chain({}, {})
    {}

    void operator()(RequestContext context, ServiceCall call, httplib::Response &response);

private:
    [[nodiscard]] Outcome<ServiceAnswer, Refusal> answer(const RequestContext &context,
                                                         const ServiceCall &call);
    [[nodiscard]] Outcome<ServiceAnswer, Refusal>
    callRepeatable(const RequestContext &context, const Service &service, const ServiceCall &call);
    [[nodiscard]] static Outcome<ServiceAnswer, Refusal> callAtMostOnce(const ServiceCall &call);

    Metrics &m_metrics;
    SharedRetryBudgets m_retries;
    FilterChain<IdentifyCustomer, SetServiceDeadline> m_chain;
};

} // namespace vanilladyke
