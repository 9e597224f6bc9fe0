#include "vanilladyke/gateway/service_handler.hpp"

#include "vanilladyke/gateway/refusal_response.hpp"

#include <httplib.h>

namespace vanilladyke {

namespace {

ServiceCall callOf(const RequestContext &context)
{
    return {context.id,        context.customer,         context.call.method,
            context.call.path, context.call.contentType, context.call.idempotencyKey,
            context.body,      context.call.deadline};
}

void write(const ServiceAnswer &answer, const ServiceId &service, httplib::Response &response)
{
    response.set_header(ServiceHeader, service.str());
    response.status = static_cast<int>(answer.status);
    response.set_content(answer.body,
                         answer.contentType.empty() ? "text/plain" : answer.contentType);
}

Refusal lost(const std::string &detail, const ExchangeState &state)
{
    return {RefusalReason::BackendFailed, detail, state.ran(), {}};
}

} // namespace

ServiceHandler::ServiceHandler(Metrics &metrics, ClaimDesk *claims)
    : m_metrics(metrics)
    , m_claims(claims)
    , m_chain({}, {}, {}, {})
{}

void ServiceHandler::operator()(RequestContext context, httplib::Response &response)
{
    m_metrics.count("service_requests_total");
    if (const FilterVerdict refusal = m_chain(context)) {
        refuse(context, *refusal, response);
    } else if (context.call.service.repeatable) {
        sendRepeatable(context, response);
    } else {
        sendOnce(context, response);
    }
}

void ServiceHandler::sendRepeatable(const RequestContext &context, httplib::Response &response)
{
    ExchangeState state;
    Random random(entropySeed());
    const auto answer = sendToService(callOf(context), context.call.service, &state, random);
    if (answer) {
        write(*answer, context.call.service.id, response);
    } else {
        refuse(context, lost(answer.error(), state), response);
    }
}

ClaimAnswer ServiceHandler::claim(const RequestContext &context)
{
    if (m_claims == nullptr) {
        return Refusal{
                RefusalReason::LogUnavailable, "this node has no log for claims", Ran::No, {}};
    }
    ClaimRequest request;
    request.key = context.call.key;
    request.request = requestDigest(context);
    request.deadline = context.call.deadline;
    request.repeat = context.call.repeat;
    const TimePoint asked = MonotonicClock::now();
    ClaimAnswer answer = m_claims->ask(request);
    m_metrics.observe("claim_seconds", MonotonicClock::now() - asked);
    return answer;
}

void ServiceHandler::sendOnce(const RequestContext &context, httplib::Response &response)
{
    ClaimAnswer answer = claim(context);
    if (auto *permit = std::get_if<ClaimPermit>(&answer)) {
        sendUnder(std::move(*permit), context, response);
        return;
    }
    if (const auto *recorded = std::get_if<ClaimOutcome>(&answer)) {
        response.set_header("Idempotency-Replayed", "true");
        write({recorded->status, recorded->contentType, recorded->body}, context.call.service.id,
              response);
        return;
    }
    const Refusal &refusal = std::get<Refusal>(answer);
    if (refusal.reason == RefusalReason::LogUnavailable && context.call.service.deduplicates) {
        // The service itself runs a key at most once, so that an outage of the log need not stop
        // its calls.
        sendRepeatable(context, response);
        return;
    }
    refuse(context, refusal, response);
}

void ServiceHandler::sendUnder(ClaimPermit permit, const RequestContext &context,
                               httplib::Response &response)
{
    ExchangeState state;
    Random random(entropySeed());
    const auto answer = sendToService(callOf(context), context.call.service, &state, random);
    if (answer) {
        permit.answered(answer->status, answer->contentType, answer->body);
        write(*answer, context.call.service.id, response);
        return;
    }
    if (state.ran() == Ran::No) {
        permit.release();
    }
    refuse(context, lost(answer.error(), state), response);
}

void ServiceHandler::refuse(const RequestContext &context, Refusal refusal,
                            httplib::Response &response)
{
    // What this node knows is that it sent nothing. An earlier try of the caller may still run
    // elsewhere; only a key that was used for another call is known not to have sent this one.
    if (context.call.repeat && refusal.reason != RefusalReason::KeyReused) {
        refusal.ran = Ran::Unknown;
    }
    writeRefusal(refusal, context.id, MonotonicClock::now(), response);
}

} // namespace vanilladyke
