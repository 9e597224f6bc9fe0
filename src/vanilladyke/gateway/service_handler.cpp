#include "vanilladyke/gateway/service_handler.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/random.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"
#include "vanilladyke/policy/exchange_state.hpp"

#include <httplib.h>

#include <algorithm>

namespace vanilladyke {

namespace {

/// Another backend server is asked once 1/2 of the remaining time has passed in silence.
constexpr int SilenceDivisor = 2;
constexpr int FirstErrorStatus = 400;

TimePoint endOfSilence(TimePoint deadline)
{
    const TimePoint now = MonotonicClock::now();
    return now + (deadline - now) / SilenceDivisor;
}

/// Whether a call that was sent once and failed this way may have run.
Ran ranAfter(ExchangeError error)
{
    ExchangeState state;
    state.apply(ExchangeEvent::SendStarted);
    state.apply(eventOf(error));
    return state.ran();
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

/// A backend server that may still answer is never given up for another one: the other one may
/// refuse or fail as well. It is asked beside the first, and the first good answer counts.
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
    Refusal refusal{RefusalReason::NoBackend, "the service has no backend", Ran::No, std::nullopt};
    const TimePoint deadline = context.firstTokenDeadline;
    ServiceAttempts attempts(call, m_tls, deadline, m_readers);
    std::optional<ServiceAnswer> error; // passed on if no other attempt does better
    std::optional<TimePoint> askNextAt; // unset: only after a failure
    std::size_t asked = 0;
    const auto askNext = [&] {
        attempts.start(backends[asked++]);
        askNextAt.reset();
        if (asked < backends.size()) {
            askNextAt = endOfSilence(deadline);
        }
    };
    if (!backends.empty()) {
        askNext();
    }
    while (attempts.open() > 0) {
        auto ended = attempts.next(askNextAt);
        if (ended) {
            logAttempt(call, ended->backend, ended->outcome);
            if (ended->outcome) {
                if (ended->outcome->status < FirstErrorStatus || attempts.open() == 0) {
                    return std::move(*ended->outcome);
                }
                // The error may concern this server only, and another one is still at work.
                error = std::move(*ended->outcome);
                askNextAt.reset();
                continue;
            }
            const ExchangeFailure &failed = ended->outcome.error();
            const bool mayHaveRun = refusal.ran != Ran::No || ranAfter(failed.error) != Ran::No;
            refusal = {RefusalReason::BackendFailed, failed.detail,
                       mayHaveRun ? Ran::Unknown : Ran::No, std::nullopt};
        }
        if (error || asked == backends.size() || MonotonicClock::now() >= deadline) {
            continue;
        }
        if (m_retries.spend(budget, call.customer)) {
            askNext();
        } else {
            askNextAt.reset();
            if (attempts.open() == 0) {
                refusal.reason = RefusalReason::RetryBudgetSpent;
                refusal.retryAt = m_retries.availableAt(budget, call.customer);
            }
        }
    }
    if (error) {
        return std::move(*error);
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
