#include "vanilladyke/gateway/service_handler.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"
#include "vanilladyke/policy/exchange_state.hpp"

#include <httplib.h>

#include <algorithm>

namespace vanilladyke {

namespace {

/// An attempt may use 1/2 of the remaining time, so that an unresponsive backend server leaves time
/// for another attempt.
constexpr int AttemptTimeDivisor = 2;

TimePoint attemptDeadline(TimePoint deadline, bool hasMoreBackends)
{
    const TimePoint now = MonotonicClock::now();
    return hasMoreBackends ? now + (deadline - now) / AttemptTimeDivisor : deadline;
}

void logAttempt(const ServiceCall &call, const Endpoint &backend,
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

Refusal withEarlierAttempts(Refusal refusal, const ServiceCall &call)
{
    if (call.repeat && refusal.reason != RefusalReason::KeyReused) {
        refusal.ran = Ran::Unknown;
    }
    return refusal;
}

Outcome<ServiceAnswer, Refusal> ServiceHandler::callRepeatable(const RequestContext &context,
                                                               const Service &service,
                                                               const ServiceCall &call)
{
    // Retry budgets are kept per model; a service uses its own name in place of the model.
    const ModelId budget("service/" + service.id.str());
    m_retries.countFirstTry(budget, call.customer, retryTerms(*context.fleet));
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
        const bool hasMoreBackends = i + 1 < backends.size();
        auto outcome = sendOnce(call, backends[i], m_tls,
                                attemptDeadline(context.firstTokenDeadline, hasMoreBackends));
        logAttempt(call, backends[i], outcome);
        if (outcome) {
            return std::move(*outcome);
        }
        state.apply(eventOf(outcome.error().error));
        refusal = {RefusalReason::BackendFailed, outcome.error().detail, state.ran(), std::nullopt};
    }
    return failure(std::move(refusal));
}

Outcome<ClaimAnswer, Refusal> ServiceHandler::claim(const RequestContext &context,
                                                    const ServiceCall &call)
{
    if (m_claims == nullptr) {
        return failure(Refusal{RefusalReason::LogUnavailable,
                               "this node can't claim calls that may not be repeated", Ran::No,
                               std::nullopt});
    }
    const std::optional<UuidV7> key = parseUuidV7(call.idempotencyKey);
    if (!key) {
        return failure(
                Refusal{RefusalReason::KeyMissing,
                        "calls of this service need an Idempotency-Key that is a UUID of version 7",
                        Ran::No, std::nullopt});
    }
    ClaimRequest request;
    request.key = {call.customer, call.service, *key};
    request.request = RequestDigest(keyDigest(call.method + " " + call.target + "\n" + call.body));
    request.deadline = context.firstTokenDeadline;
    request.repeat = call.repeat;
    const TimePoint asked = MonotonicClock::now();
    ClaimAnswer answer = m_claims->requestPermit(request);
    m_metrics.observe("claim_seconds", MonotonicClock::now() - asked);
    return answer;
}

/// Sends the call only under a claim, since otherwise another node could send it too.
Outcome<ServiceAnswer, Refusal> ServiceHandler::callAtMostOnce(const RequestContext &context,
                                                               const Service &service,
                                                               const ServiceCall &call)
{
    auto claimed = claim(context, call);
    if (!claimed) {
        return failure(std::move(claimed.error()));
    }
    if (auto *permit = std::get_if<ClaimPermit>(&*claimed)) {
        return callWithPermit(std::move(*permit), service, call, context.firstTokenDeadline);
    }
    if (auto *recorded = std::get_if<ClaimOutcome>(&*claimed)) {
        return ServiceAnswer{static_cast<int>(recorded->status), std::move(recorded->contentType),
                             std::move(recorded->body), true};
    }
    Refusal &refusal = std::get<Refusal>(*claimed);
    if (refusal.reason == RefusalReason::LogUnavailable && service.deduplicates) {
        // The service deduplicates by key itself, so calls may continue while the log is
        // unavailable.
        return callRepeatable(context, service, call);
    }
    return failure(std::move(refusal));
}

Outcome<ServiceAnswer, Refusal> ServiceHandler::callWithPermit(ClaimPermit permit,
                                                               const Service &service,
                                                               const ServiceCall &call,
                                                               TimePoint deadline)
{
    std::vector<Endpoint> backends = service.backends;
    Random random(entropySeed());
    std::shuffle(backends.begin(), backends.end(), random);
    ExchangeState state;
    Refusal refusal{RefusalReason::NoBackend, "the service has no backend", Ran::No, std::nullopt};
    for (const Endpoint &backend : backends) {
        state.apply(ExchangeEvent::SendStarted);
        auto outcome = sendOnce(call, backend, m_tls, deadline);
        logAttempt(call, backend, outcome);
        if (outcome) {
            permit.recordAnswer(static_cast<std::uint32_t>(outcome->status), outcome->contentType,
                                outcome->body);
            return std::move(*outcome);
        }
        state.apply(eventOf(outcome.error().error));
        refusal = {RefusalReason::BackendFailed, outcome.error().detail, state.ran(), std::nullopt};
        if (state.ran() != Ran::No) {
            // The call may have run, so it must not be sent to another backend server; the permit
            // records that.
            return failure(std::move(refusal));
        }
    }
    permit.release();
    return failure(std::move(refusal));
}

Outcome<ServiceAnswer, Refusal> ServiceHandler::answer(const RequestContext &context,
                                                       const ServiceCall &call)
{
    const Service *service = findService(*context.fleet->bundle, call.service);
    if (service == nullptr) {
        return failure(Refusal{RefusalReason::UnknownService,
                               "no such service: " + call.service.str(), Ran::No, std::nullopt});
    }
    return service->repeatable ? callRepeatable(context, *service, call)
                               : callAtMostOnce(context, *service, call);
}

void ServiceHandler::operator()(RequestContext context, ServiceCall call,
                                httplib::Response &response)
{
    m_metrics.count("service_calls_total");
    if (const FilterVerdict refusal = m_chain(context)) {
        writeRefusal(withEarlierAttempts(*refusal, call), context.id, MonotonicClock::now(),
                     response);
        return;
    }
    call.request = context.id;
    call.customer = context.customer;
    call.body = std::move(context.body);
    auto outcome = answer(context, call);
    if (!outcome) {
        writeRefusal(withEarlierAttempts(outcome.error(), call), context.id, MonotonicClock::now(),
                     response);
        return;
    }
    response.status = outcome->status;
    response.set_header(ServiceHeader, call.service.str());
    if (outcome->replayed) {
        response.set_header("Idempotency-Replayed", "true");
    }
    response.set_content(outcome->body, outcome->contentType);
}

} // namespace vanilladyke
