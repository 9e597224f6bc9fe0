#include "vanilladyke/gateway/service_handler.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"
#include "vanilladyke/policy/exchange_state.hpp"

#include <httplib.h>

#include <algorithm>

namespace vanilladyke {

namespace {

/// A backend that answers nothing must leave time for a try elsewhere.
constexpr int SharesOfTime = 2;

TimePoint tryDeadline(TimePoint deadline, bool another)
{
    const TimePoint now = MonotonicClock::now();
    return another ? now + (deadline - now) / SharesOfTime : deadline;
}

void logTry(const ServiceCall &call, const Endpoint &backend,
            const Outcome<ServiceAnswer, ExchangeFailure> &outcome)
{
    LogEvent event("service_call", outcome ? Severity::Info : Severity::Warning);
    event.field("request", call.request.str())
            .field("customer", call.customer.str())
            .field("service", call.service.str())
            .field("backend", backend.str());
    if (outcome) {
        event.field("status", outcome->status);
    } else {
        event.field("error", toString(outcome.error().error))
                .field("detail", outcome.error().detail);
    }
}

} // namespace

Outcome<ServiceAnswer, Refusal> ServiceHandler::callRepeatable(const RequestContext &context,
                                                               const Service &service,
                                                               const ServiceCall &call)
{
    // Retry budgets are kept for each model; a service takes the place of one.
    const ModelId budget("service/" + service.id.str());
    m_retries.countFirstTry(budget, call.customer, context.fleet->bundle->limits.retryFraction);
    std::vector<Endpoint> backends = service.backends;
    Random random(entropySeed());
    std::shuffle(backends.begin(), backends.end(), random);
    ExchangeState state;
    Refusal refusal{RefusalReason::NoBackend, "the service has no backend", Ran::No, std::nullopt};
    for (std::size_t i = 0; i < backends.size(); ++i) {
        if (i > 0 && !m_retries.spend(budget, call.customer)) {
            refusal.reason = RefusalReason::RetryBudgetSpent;
            refusal.retryAt = m_retries.availableAt(budget, call.customer);
            break;
        }
        state.apply(ExchangeEvent::SendStarted);
        const bool another = i + 1 < backends.size();
        auto outcome =
                sendOnce(call, backends[i], tryDeadline(context.firstTokenDeadline, another));
        logTry(call, backends[i], outcome);
        if (outcome) {
            return std::move(*outcome);
        }
        state.apply(eventOf(outcome.error().error));
        refusal = {RefusalReason::BackendFailed, outcome.error().detail, state.ran(), std::nullopt};
    }
    return failure(std::move(refusal));
}

/// Without a claim no node may send the call, as another could send it too.
Outcome<ServiceAnswer, Refusal> ServiceHandler::callAtMostOnce(const ServiceCall & /*call*/)
{
    return failure(Refusal{RefusalReason::LogUnavailable,
                           "this node can't claim calls that may not be repeated", Ran::No,
                           std::nullopt});
}

Outcome<ServiceAnswer, Refusal> ServiceHandler::answer(const RequestContext &context,
                                                       const ServiceCall &call)
{
    const Service *service = findService(*context.fleet->bundle, call.service);
    if (service == nullptr) {
        return failure(Refusal{RefusalReason::UnknownService,
                               "no such service: " + call.service.str(), Ran::No, std::nullopt});
    }
    return service->repeatable ? callRepeatable(context, *service, call) : callAtMostOnce(call);
}

void ServiceHandler::operator()(RequestContext context, ServiceCall call,
                                httplib::Response &response)
{
    m_metrics.count("service_calls_total");
    if (const FilterVerdict refusal = m_chain(context)) {
        writeRefusal(*refusal, context.id, MonotonicClock::now(), response);
        return;
    }
    call.request = context.id;
    call.customer = context.customer;
    call.body = std::move(context.body);
    auto outcome = answer(context, call);
    if (!outcome) {
        writeRefusal(outcome.error(), context.id, MonotonicClock::now(), response);
        return;
    }
    response.status = outcome->status;
    response.set_content(outcome->body, outcome->contentType);
}

} // namespace vanilladyke
