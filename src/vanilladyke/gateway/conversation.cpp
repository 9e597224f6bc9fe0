#include "vanilladyke/gateway/conversation.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

EngineCall callOf(const RequestContext &context, const EngineView &engine)
{
    EngineCall call;
    call.engine = engine;
    call.weights = context.weights;
    call.request = context.id;
    call.stream = StreamId(newUuid());
    call.attempt = newUuid();
    call.path = context.path;
    call.body = context.engineBody;
    call.chain = context.chain;
    return call;
}

} // namespace

Conversation::Conversation(RequestContext context, const FleetStore &fleet, TrafficControl &control)
    : m_context(std::move(context))
    , m_fleet(fleet)
    , m_control(control)
{
    m_control.retries.countFirstTry(m_context.model, m_context.customer,
                                    m_context.fleet->bundle->limits.retryFraction);
}

std::optional<Refusal> Conversation::startAttempt()
{
    Random random(entropySeed());
    const std::shared_ptr<const Fleet> fleet = m_fleet.current();
    const TimePoint now = MonotonicClock::now();
    std::vector<EngineId> excluded = m_control.engines.closedFor(m_context.model, *fleet, now);
    excluded.insert(excluded.end(), m_failed.begin(), m_failed.end());
    m_attempt = placeAttempt(m_context, *fleet, excluded, random);
    if (!m_attempt) {
        return Refusal{RefusalReason::NoBackend, "no engine serves the model", m_state.ran(),
                       m_control.engines.firstReturn(m_context.model, *fleet, now)};
    }
    m_use = std::make_unique<EngineUse>(m_control.engines, m_attempt->engine.id, m_context.model);
    m_state.apply(ExchangeEvent::SendStarted);
    m_exchange = std::make_unique<EngineExchange>(callOf(m_context, m_attempt->engine));
    m_attemptedAt = now;
    m_silentAt = m_context.firstTokenDeadline;
    return std::nullopt;
}

StreamStep Conversation::next(TimePoint until)
{
    if (!m_exchange) {
        if (const auto refusal = startAttempt()) {
            return *refusal;
        }
    }
    auto frame = m_exchange->next(std::min(until, m_silentAt));
    if (frame) {
        m_state.apply(ExchangeEvent::AnswerReceived);
        noteFirstToken();
        m_silentAt = MonotonicClock::now() + m_context.fleet->bundle->limits.streamSilence;
        if (frame->end && m_context.slot) {
            m_context.slot->completed();
        }
        return std::move(*frame);
    }
    if (frame.error().error == ExchangeError::Silent && MonotonicClock::now() < m_silentAt) {
        return StillWaiting{};
    }
    m_state.apply(eventOf(frame.error().error));
    return afterFailure(frame.error());
}

void Conversation::noteFirstToken()
{
    if (m_answered) {
        return;
    }
    m_answered = true;
    const TimePoint now = MonotonicClock::now();
    if (m_context.slot) {
        m_context.slot->firstTokenCame(now);
    }
    m_control.engines.observe(
            {m_attempt->engine.id, false, m_attempt->firstToken, now - m_attemptedAt},
            *m_fleet.current(), now);
}

/// Before the first token another engine can take over without the caller noticing; a completion
/// may be computed twice without harm.
StreamStep Conversation::afterFailure(const ExchangeFailure &failure)
{
    const TimePoint now = MonotonicClock::now();
    m_control.engines.observe({m_attempt->engine.id, true, m_attempt->firstToken, {}},
                              *m_fleet.current(), now);
    const bool inTime = now < m_context.firstTokenDeadline;
    if (m_answered || !inTime) {
        return Refusal{RefusalReason::BackendFailed, failure.detail, m_state.ran(), {}};
    }
    const bool granted = m_control.retries.spend(m_context.model, m_context.customer);
    LogEvent("retry", Severity::Warning)
            .field("request", m_context.id.str())
            .field("engine", m_attempt->engine.id.str())
            .field("error", toString(failure.error))
            .field("detail", failure.detail)
            .field("verdict", granted ? "granted" : "budget_spent");
    if (!granted) {
        return Refusal{RefusalReason::RetryBudgetSpent, failure.detail, m_state.ran(),
                       m_control.retries.availableAt(m_context.model, m_context.customer)};
    }
    m_failed.push_back(m_attempt->engine.id);
    m_exchange.reset();
    m_use.reset();
    return StillWaiting{};
}

} // namespace vanilladyke
