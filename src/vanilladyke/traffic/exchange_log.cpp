#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

/// The part of Exchange that logs and counts decisions on a request and the results of its tries.
namespace vanilladyke {

namespace {

Duration spanOf(Millis predicted)
{
    return std::chrono::duration_cast<Duration>(predicted);
}

} // namespace

void Exchange::logRetry(const BackendTryPtr &attempt, bool isAllowed, TimePoint now)
{
    const std::string reason(retryReason(attempt));
    const RetryAccount account = m_state.retryBudget.account(m_service, now);
    m_state.metrics.count(std::string(isAllowed ? "retries" : "retries_denied") + "_total{reason=\""
                          + reason + "\"}");
    LogEvent(isAllowed ? "retry" : "retry_denied")
            .field("id", m_request->id)
            .field("service", m_service.str())
            .field("backend", attempt->choice().backend.id.str())
            .field("reason", reason)
            .field("handed_on", attempt->isRelay())
            .field("for_node", m_request->relay.has_value())
            .field("resumed", m_headWritten)
            .field("sends", m_sends)
            .field("spent", account.spent)
            .field("earned", account.earned)
            .field("extra", account.extra)
            .field("nodes", account.nodes)
            .field("up_ms", now - m_state.startedAt);
}

void Exchange::logRun(const BackendTry &attempt) const
{
    LogEvent("further_run")
            .field("id", m_request->id)
            .field("backend", attempt.choice().backend.id.str())
            .field("handed_on", attempt.isRelay())
            .field("for_node", m_request->relay.has_value())
            .field("resumed", m_headWritten)
            .field("sends", m_sends)
            .field("runs", m_runs)
            .field("most", mostServers());
}

std::string Exchange::sharedParts() const
{
    constexpr std::size_t MaxLogged = 6;
    const std::vector<PromptPart> &parts = m_request->parts;
    std::string result;
    for (std::size_t i = 0; i + 1 < parts.size() && i < MaxLogged; ++i) {
        result += (result.empty() ? "" : ",") + parts[i].id;
    }
    return result.empty() ? "none" : result;
}

void Exchange::logFailedTry(const BackendTry &attempt, TryResult end) const
{
    const AbortReason reason = attempt.abortReason();
    const TimePoint now = MonotonicClock::now();
    LogEvent("try_failed", Severity::Info)
            .field("id", m_request->id)
            .field("backend", attempt.choice().backend.id.str())
            .field("software", attempt.choice().backend.software)
            .field("weights", attempt.choice().weights)
            .field("end", toString(end))
            .field("status", attempt.head().status)
            .field("sends", m_sends)
            .field("aborted", toString(reason))
            .field("unacked",
                   attempt.unackedAtAbort() ? std::to_string(*attempt.unackedAtAbort()) : "none")
            .field("after_ms", now - *attempt.sentAt())
            .field("began", attempt.beganAt().has_value())
            .field("stalled", isLeftAsSilent(reason))
            .field("timed_out", m_timedOut)
            .field("caller_left", m_callerDisconnected)
            .field("engine_ended", attempt.engineEnded)
            .field("parts", attempt.engineEnded ? sharedParts() : "none")
            .field("digest", attempt.engineEnded ? digest()->str() : "none");
}

void Exchange::countOwnCut()
{
    if (isOwnChoice(m_lastAbort)) {
        m_state.metrics.count("requests_cut_by_node_total{abort=\""
                              + std::string(toString(m_lastAbort)) + "\"}");
    }
}

void Exchange::log(int status, std::string_view outcome)
{
    const TimePoint now = MonotonicClock::now();
    const std::string route = m_route == nullptr ? "none" : m_route->name;
    m_state.metrics.count("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    m_state.metrics.observe("request_seconds", now - m_request->arrived);
    LogEvent("request")
            .field("id", m_request->id)
            .field("route", route)
            .field("customer", m_customer == nullptr ? "none" : m_customer->id.str())
            .field("config", m_table == nullptr ? 0 : m_table->config().version)
            .field("proof_age_ms", m_state.configAge())
            .field("backend", m_choice ? m_choice->backend.id.str() : "none")
            .field("software", m_choice ? m_choice->backend.software : std::string())
            .field("resumed", !m_request->lastEventId.empty())
            .field("first_attempt",
                   m_request->firstAttempt.empty() ? "none" : m_request->firstAttempt)
            .field("weights", m_choice ? m_choice->weights : 0)
            .field("weights_left_ms", m_weightsTimeLeft.value_or(Duration::zero()))
            .field("part", m_choice ? m_choice->part : 0)
            .field("shared", m_choice ? m_choice->sharedTokens : 0)
            .field("prompt", m_request->promptTokens)
            .field("held", m_choice && m_choice->isCached)
            .field("source", m_choice && m_choice->fetchFrom ? m_choice->fetchFrom->str() : "none")
            .field("saved", m_choice && m_choice->saveTo)
            .field("cost_ms", spanOf(m_choice ? m_choice->cost : Millis()))
            .field("predicted_ms", spanOf(m_choice ? m_choice->timeToFirstToken : Millis()))
            .field("wait_ms", spanOf(m_choice ? m_choice->wait : Millis()))
            .field("tokens_per_ms", m_choice ? m_choice->tokensPerMs : 0.0)
            .field("read_ms", spanOf(m_choice ? m_choice->prefill : Millis()))
            .field("handed_on", m_choice && m_choice->isRelay)
            .field("for_node", m_request->relay.has_value())
            .field("candidates", m_choice ? m_choice->candidates : 0)
            .field("status", status)
            .field("outcome", outcome)
            .field("ran", toString(ran()))
            .field("sends", m_sends)
            .field("hedges", m_hedgesStarted)
            .field("last_abort", toString(m_lastAbort))
            .field("own_aborts", m_ownAborts)
            .field("denied", m_denial ? toString(*m_denial) : "none")
            .field("first_ms",
                   m_firstByteAt ? *m_firstByteAt - m_request->arrived : Duration::zero())
            .field("total_ms", now - m_request->arrived);
}

void Exchange::logClosedBeforeSend(const BackendTry &attempt, TimePoint now) const
{
    m_state.metrics.count("requests_closed_before_send_total");
    LogEvent("closed_before_send")
            .field("id", m_request->id)
            .field("backend", attempt.choice().backend.id.str())
            .field("sends", m_sends)
            .field("after_ms", now - m_request->arrived);
}

} // namespace vanilladyke
