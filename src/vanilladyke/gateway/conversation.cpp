#include "vanilladyke/gateway/conversation.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/stream_canceller.hpp"

#include <algorithm>
#include <thread>

namespace vanilladyke {

namespace {

/// How long a caller with a partial answer waits for an engine to continue it. Longer than an
/// engine takes to restart and load its weights.
constexpr Duration RecoveryTimeout = std::chrono::seconds(15);
/// Interval between searches for an available engine; the fleet is refreshed about as often.
constexpr Duration EngineRetryInterval = std::chrono::milliseconds(100);

AttemptEnd attemptEndOf(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return AttemptEnd::NotConnected;
    case ExchangeError::Rejected:
        return AttemptEnd::Refused;
    case ExchangeError::Reset:
    case ExchangeError::TimedOut:
    case ExchangeError::Mismatch:
        return AttemptEnd::Broken;
    }
    return AttemptEnd::Broken;
}

} // namespace

Conversation::Conversation(RequestContext context, const ConversationEnvironment &environment)
    : m_context(std::move(context))
    , m_environment(environment)
    , m_giveUpAt(m_context.firstTokenDeadline)
{
    m_environment.control.retries.countFirstTry(m_context.model, m_context.customer,
                                                retryTerms(*m_context.fleet));
    if (m_context.resumeAt) {
        resumeAt(*m_context.resumeAt);
    }
}

void Conversation::resumeAt(const StreamPosition &at)
{
    m_guard = StreamGuard(at.offset);
    m_answer = PartialAnswer(at.start);
    m_call.stream = at.stream;
    m_call.engine.id = at.engine;
    m_call.engine.incarnation = at.incarnation;
    m_call.body = m_context.engineBody;
    m_call.answerOffset = at.start;
    if (const EngineView *engine = findEngine(*m_environment.fleet.current(), at.engine)) {
        m_call.engine.endpoint = engine->endpoint;
    }
    m_use = std::make_unique<EngineUse>(m_environment.control.engines, at.engine, m_context.model);
    m_giveUpAt = m_context.arrivedAt + RecoveryTimeout;
    // Another node sent this call before, so it may have run whatever happens here.
    m_state.apply(ExchangeEvent::SendStarted);
    m_state.apply(ExchangeEvent::ConnectionLost);
}

Conversation::~Conversation()
{
    if (!m_finished) {
        releaseEngine();
    }
}

StreamPosition Conversation::position() const
{
    return {m_call.engine.id, m_call.engine.incarnation, m_call.stream, m_call.answerOffset,
            m_guard.offset()};
}

/// Ends the attempt, and cancels the stream at the engine if it may still be running.
void Conversation::releaseEngine()
{
    if (m_exchange && !m_call.engine.id.empty()) {
        m_environment.canceller.cancel(m_call.engine.endpoint, m_call.stream);
    }
    m_exchange.reset();
    m_use.reset();
    m_work.reset();
    m_call.engine.id = EngineId();
}

Refusal Conversation::giveUp(std::string detail)
{
    releaseEngine();
    m_finished = true;
    const bool late = m_guard.offset() == 0 && MonotonicClock::now() >= m_giveUpAt;
    const RefusalReason reason = late ? RefusalReason::TooLate : RefusalReason::BackendFailed;
    return {reason, std::move(detail), m_state.ran(), {}};
}

bool Conversation::engineAlive() const
{
    const std::shared_ptr<const Fleet> fleet = m_environment.fleet.current();
    const EngineView *engine = findEngine(*fleet, m_call.engine.id);
    const bool isUp =
            engine != nullptr
            && (engine->state == EngineState::Ready || engine->state == EngineState::Loading
                || engine->state == EngineState::Leaving);
    return isUp && engine->incarnation == m_call.engine.incarnation;
}

/// No engine is available. @return whether to retry later; false for a first attempt, which is
/// refused
bool Conversation::waitForEngine(TimePoint now)
{
    const bool attempted =
            m_state.stage() != ExchangeStage::NothingSent || m_consecutiveFailures > 0;
    m_excluded.clear();
    m_notBefore = now + EngineRetryInterval;
    return attempted && now < m_giveUpAt;
}

/// Chooses an engine for a new stream. @return a refusal if no engine can take the request
std::optional<Refusal> Conversation::chooseEngine(TimePoint now)
{
    if (auto refusal = refuseQuarantined(now)) {
        return refusal;
    }
    const std::shared_ptr<const Fleet> fleet = m_environment.fleet.current();
    EngineSlots &slots = m_environment.control.engines;
    std::vector<EngineId> excluded = slots.excludedFor(m_context.model, *fleet, m_excluded, now);
    excluded.insert(excluded.end(), m_excluded.begin(), m_excluded.end());
    std::optional<PlacedAttempt> placed =
            m_environment.control.placer.placeAttempt(m_context, *fleet, excluded, m_random);
    if (!placed) {
        if (waitForEngine(now)) {
            return std::nullopt;
        }
        m_finished = true;
        return Refusal{RefusalReason::NoBackend, "no engine serves the model", m_state.ran(),
                       slots.earliestReadmission(m_context.model, *fleet, now)};
    }
    m_call.engine = placed->engine;
    m_firstFrameAt.reset();
    m_connectionLoss.reset();
    m_use = std::make_unique<EngineUse>(slots, m_call.engine.id, m_context.model);
    m_work = std::move(placed->work);
    m_predictedFirstToken = placed->firstToken;
    m_call.stream = StreamId(newUuid());
    m_call.answerOffset = m_answer.tokens();
    m_call.body = m_answer.continuationBody(m_context);
    m_failuresOnEngine = 0;
    return std::nullopt;
}

void Conversation::startAttempt(TimePoint now)
{
    m_call.weights = m_context.weights;
    m_call.tls = m_environment.tls;
    m_call.request = m_context.id;
    m_call.attempt = newUuid();
    m_call.path = m_context.path;
    m_call.chain = m_context.chain;
    m_call.priority = m_context.priority;
    m_call.idleTimeout = m_context.fleet->bundle->limits.streamSilence;
    // For a resumed stream, frames that the caller has are read again, so that the answer can
    // continue on another engine.
    const bool stored = m_answer.covers(m_guard.offset());
    m_call.resumeOffset = stored ? m_guard.offset() : m_call.answerOffset;
    m_guard.begin(m_call.attempt);
    m_hasProgress = false;
    m_attemptedAt = now;
    m_notBefore = now;
    m_state.apply(ExchangeEvent::SendStarted);
    m_exchange = std::make_unique<EngineExchange>(m_call, m_environment.threads);
}

/// Switches to the weights now in service unless a frame has been sent: they may have changed since
/// the request was parsed, and no engine may be left with the old ones.
void Conversation::updateWeights()
{
    const std::shared_ptr<const Fleet> fleet = m_environment.fleet.current();
    const Model *model = findModel(*fleet->bundle, m_context.model);
    if (m_guard.offset() > 0 || model == nullptr || model->weights == m_context.weights) {
        return;
    }
    LogEvent("weights_taken_anew")
            .field("request", m_context.id.str())
            .field("before", m_context.weights.str())
            .field("now", model->weights.str());
    m_context.weights = model->weights;
    static_cast<void>(CutPrefixes{}(m_context)); // the hash of each cut is seeded with the weights
}

std::optional<Refusal> Conversation::prepareAttempt(TimePoint now)
{
    updateWeights();
    if (m_call.engine.id.empty()) {
        if (auto refusal = chooseEngine(now)) {
            return refusal;
        }
    }
    if (!m_call.engine.id.empty()) {
        startAttempt(now);
    }
    return std::nullopt;
}

/// @return the frame if it is to be forwarded; an error if the attempt can't be continued
Outcome<std::optional<StreamFrame>, ExchangeFailure> Conversation::accept(StreamFrame frame)
{
    const FrameVerdict verdict = frame.end ? m_guard.checkEnd(frame.attempt, frame.offset)
                                           : m_guard.check(frame.attempt, frame.offset);
    if (verdict == FrameVerdict::Foreign) {
        LogEvent("frame_discarded", Severity::Warning)
                .field("request", m_context.id.str())
                .field("engine", m_call.engine.id.str())
                .field("attempt", m_call.attempt)
                .field("found_attempt", frame.attempt);
        return std::nullopt;
    }
    m_state.apply(ExchangeEvent::AnswerReceived);
    if (verdict == FrameVerdict::Gap) {
        return failure(ExchangeFailure{ExchangeError::Reset, "a frame is missing"});
    }
    if (!frame.end) {
        m_answer.add(frame.offset, frame.data);
    }
    if (verdict == FrameVerdict::Duplicate) {
        return std::nullopt;
    }
    recordFrame(frame);
    return frame;
}

/// Records a frame that is forwarded to the caller.
void Conversation::recordFrame(const StreamFrame &frame)
{
    const TimePoint now = MonotonicClock::now();
    if (!m_hasProgress) {
        observe(false, now - m_attemptedAt);
    }
    if (m_context.slot) {
        m_context.slot->recordFirstToken(now);
    }
    if (m_context.slot && frame.end) {
        m_context.slot->markCompleted();
    }
    if (frame.end) {
        m_environment.control.quarantine.recordAnswer(m_context, now);
    }
    m_firstFrameAt = m_firstFrameAt.value_or(now);
    m_connectionLoss.reset();
    if (m_work) {
        updatePlacer(frame);
    }
    m_finished = frame.end;
    m_hasProgress = true;
    m_consecutiveFailures = 0;
    m_failuresOnEngine = 0;
    m_excluded.clear();
}

void Conversation::updatePlacer(const StreamFrame &frame)
{
    m_work->recordFirstToken();
    if (const auto cached = cachedTokensIn(frame.data)) {
        m_work->recordCachedTokens(*cached);
    }
}

void Conversation::observe(bool failed, Duration duration) const
{
    m_environment.control.engines.observe(
            {m_call.engine.id, failed, m_predictedFirstToken, duration},
            *m_environment.fleet.current(), MonotonicClock::now());
}

/// Restarting a stream on another engine before its first frame is a retry and needs budget. A
/// stream whose caller has a partial answer needs none, nor does one whose engine is gone: its work
/// is lost, so nothing runs twice at the same time.
bool Conversation::maySwitchEngine()
{
    return m_guard.offset() > 0 || !engineAlive()
           || m_environment.control.retries.spend(m_context.model, m_context.customer);
}

/// Releases the engine to choose another one, or keeps it if the retry budget is spent: the stream
/// still exists there, and waiting for it adds no load. If callers of a frozen engine were refused
/// at once, all would return as new requests. @return a refusal if neither is possible
std::optional<Refusal> Conversation::switchEngine(const ExchangeFailure &why, TimePoint now)
{
    if (maySwitchEngine()) {
        m_excluded.push_back(m_call.engine.id);
        releaseEngine();
        return std::nullopt;
    }
    if (attemptEndOf(why.error) == AttemptEnd::Refused) {
        Refusal refusal = giveUp(why.detail);
        refusal.reason = RefusalReason::RetryBudgetSpent;
        refusal.retryAt =
                m_environment.control.retries.availableAt(m_context.model, m_context.customer);
        return refusal;
    }
    m_failuresOnEngine = 0;
    m_notBefore = now + EngineRetryInterval;
    return std::nullopt;
}

void Conversation::logAttemptEnd(const ExchangeFailure &why, RecoveryStep step) const
{
    LogEvent("attempt_ended", Severity::Warning)
            .field("request", m_context.id.str())
            .field("engine", m_call.engine.id.str())
            .field("attempt", m_call.attempt)
            .field("error", toString(why.error))
            .field("detail", why.detail)
            .field("offset", m_guard.offset())
            .field("next", toString(step));
}

/// A lost connection alone doesn't prove that the engine terminated: afterwards the engine must be
/// unreachable or have another incarnation.
void Conversation::recordEngineTermination(const ExchangeFailure &why, TimePoint now)
{
    if (why.error == ExchangeError::Reset && !m_connectionLoss) {
        const bool hadJustBegun =
                !m_firstFrameAt || now - *m_firstFrameAt < RequestQuarantine::JustBegun;
        m_connectionLoss = ConnectionLoss{now, hadJustBegun};
    }
    const bool isUnreachable = why.error == ExchangeError::ConnectFailed
                               || why.error == ExchangeError::Rejected
                               || why.error == ExchangeError::Mismatch;
    if (m_connectionLoss && (isUnreachable || !engineAlive())) {
        m_environment.control.quarantine.recordTermination(m_context, m_call.engine,
                                                           *m_connectionLoss);
        m_connectionLoss.reset();
    }
}

std::optional<Refusal> Conversation::refuseQuarantined(TimePoint now)
{
    const auto until = m_environment.control.quarantine.heldUntil(m_context, now);
    if (!until) {
        return std::nullopt;
    }
    Refusal refusal = giveUp("engines ended when they ran this request");
    refusal.reason = RefusalReason::EndsEngines;
    refusal.retryAt = until;
    return refusal;
}

/// Handles a failed attempt. @return the refusal that ends the conversation, if it must end
std::optional<Refusal> Conversation::handleAttemptFailure(const ExchangeFailure &why)
{
    const TimePoint now = MonotonicClock::now();
    m_state.apply(eventOf(why.error));
    observe(true, {});
    recordEngineTermination(why, now);
    if (auto refusal = refuseQuarantined(now)) {
        logAttemptEnd(why, RecoveryStep::GiveUp);
        return refusal;
    }
    if (m_hasProgress) {
        m_giveUpAt = now + RecoveryTimeout;
    } else {
        ++m_consecutiveFailures;
        ++m_failuresOnEngine;
    }
    const RecoverySituation situation{attemptEndOf(why.error),
                                      engineAlive(),
                                      m_failuresOnEngine,
                                      m_consecutiveFailures,
                                      m_answer.covers(m_guard.offset()),
                                      m_giveUpAt};
    const RecoveryStep step = recover(situation, now);
    logAttemptEnd(why, step);
    if (step == RecoveryStep::GiveUp) {
        return giveUp(why.detail);
    }
    if (step == RecoveryStep::OtherEngine) {
        if (auto refusal = switchEngine(why, now)) {
            return refusal;
        }
    }
    m_exchange.reset();
    return std::nullopt;
}

/// When the current attempt times out if no more bytes arrive. The first frame has a deadline;
/// later frames may take any time as long as the connection carries data.
TimePoint Conversation::idleDeadline() const
{
    const TimePoint idleAt = m_exchange->lastReceivedAt() + m_call.idleTimeout;
    return m_guard.offset() == 0 ? std::min(idleAt, m_giveUpAt) : idleAt;
}

/// Reads from the current attempt once. @return none if next() should continue at once
std::optional<StreamStep> Conversation::readAttempt(TimePoint until)
{
    auto item = m_exchange->next(std::min(until, idleDeadline()));
    if (!item && item.error().error == ExchangeError::TimedOut) {
        const TimePoint now = MonotonicClock::now();
        if (now < idleDeadline()) {
            return now < until ? std::nullopt : std::optional<StreamStep>(StillWaiting{});
        }
    }
    auto accepted = item ? accept(std::move(*item)) : failure(std::move(item.error()));
    if (accepted) {
        return *accepted ? std::optional<StreamStep>(std::move(**accepted)) : std::nullopt;
    }
    auto refusal = handleAttemptFailure(accepted.error());
    return refusal ? std::optional<StreamStep>(std::move(*refusal)) : std::nullopt;
}

/// Starts the next attempt when it is due. @return none if it has started or no engine is available
std::optional<StreamStep> Conversation::beginAttempt(TimePoint until)
{
    std::this_thread::sleep_until(std::min(m_notBefore, until));
    const TimePoint now = MonotonicClock::now();
    if (now < m_notBefore) {
        return StillWaiting{};
    }
    auto refusal = prepareAttempt(now);
    return refusal ? std::optional<StreamStep>(std::move(*refusal)) : std::nullopt;
}

StreamStep Conversation::next(TimePoint until)
{
    while (true) {
        if (m_environment.aborting) {
            Refusal refusal = giveUp("this node was told to stop at once");
            refusal.reason = RefusalReason::ShuttingDown;
            return refusal;
        }
        auto step = m_exchange ? readAttempt(until) : beginAttempt(until);
        if (step) {
            return std::move(*step);
        }
    }
}

} // namespace vanilladyke
