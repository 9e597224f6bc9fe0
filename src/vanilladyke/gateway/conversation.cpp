#include "vanilladyke/gateway/conversation.hpp"

#include "vanilladyke/gateway/placer.hpp"

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

Conversation::Conversation(RequestContext context, const FleetStore &fleet)
    : m_context(std::move(context))
    , m_fleet(fleet)
{}

std::optional<Refusal> Conversation::startAttempt()
{
    Random random(entropySeed());
    const std::shared_ptr<const Fleet> fleet = m_fleet.current();
    const std::optional<EngineView> engine = placeAttempt(m_context, *fleet, {}, random);
    if (!engine) {
        return Refusal{RefusalReason::NoBackend, "no engine serves the model", m_state.ran(), {}};
    }
    m_state.apply(ExchangeEvent::SendStarted);
    m_exchange = std::make_unique<EngineExchange>(callOf(m_context, *engine));
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
        m_silentAt = MonotonicClock::now() + m_context.fleet->bundle->limits.streamSilence;
        return std::move(*frame);
    }
    if (frame.error().error == ExchangeError::Silent && MonotonicClock::now() < m_silentAt) {
        return StillWaiting{};
    }
    m_state.apply(eventOf(frame.error().error));
    return Refusal{RefusalReason::BackendFailed, frame.error().detail, m_state.ran(), {}};
}

} // namespace vanilladyke
