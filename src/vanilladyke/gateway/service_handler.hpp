#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/claim_desk.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/gateway/service_exchange.hpp"
#include "vanilladyke/gateway/service_filters.hpp"

namespace httplib {
struct Response;
}

/// Calls of plain services: ANY /services/{name}/{path}.
namespace vanilladyke {

/// @brief Stands in every answer of a service, to tell it from one of this node.
inline constexpr const char *ServiceHeader = "X-Service";

/// @brief Serves one call after another, each on its own thread.
class ServiceHandler
{
public:
    /// @param claims null if this node has no log; calls that may not be repeated are then refused
    ServiceHandler(Metrics &metrics, ClaimDesk *claims);

    void operator()(RequestContext context, httplib::Response &response);
    /// @brief Writes a refusal; what it says of the call holds for all tries of its caller.
    static void refuse(const RequestContext &context, Refusal refusal, httplib::Response &response);

private:
    void sendRepeatable(const RequestContext &context, httplib::Response &response);
    void sendOnce(const RequestContext &context, httplib::Response &response);
    void sendUnder(ClaimPermit permit, const RequestContext &context, httplib::Response &response);
    [[nodiscard]] ClaimAnswer claim(const RequestContext &context);

    Metrics &m_metrics;
    ClaimDesk *m_claims;
    FilterChain<IdentifyCustomer, FindService, SetServiceDeadline, CheckIdempotencyKey> m_chain;
};

} // namespace vanilladyke
