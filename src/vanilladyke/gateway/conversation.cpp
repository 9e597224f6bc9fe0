#include "vanilladyke/gateway/conversation.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/stream_canceller.hpp"

#include <algorithm>
#include <thread>

namespace vanilladyke {

namespace {

/// How long a caller with a part of its answer is kept while no engine goes on with it. Longer than
/// an engine takes to restart and load its weights.
constexpr Duration RescueWithin = std::chrono::seconds(15);
/// Between two looks for an engine when there is none; the fleet is seen anew about as often.
constexpr Duration LookAgainAfter = std::chrono::milliseconds(100);

AttemptEnd endOf(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return AttemptEnd::NotConnected;
    case ExchangeError::Rejected:
        return AttemptEnd::Refused;
    case ExchangeError::Reset:
    case ExchangeError::Silent:
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
    m_answer = AnswerSoFar(at.start);
    m_call.stream = at.stream;
    m_call.engine.id = at.engine;
    m_call.engine.incarnation = at.incarnation;
    m_call.body = m_context.engineBody;
    m_call.answerOffset = at.start;
    if (const EngineView *engine = findEngine(*m_environment.fleet.current(), at.engine)) {
        m_call.engine.endpoint = engine->endpoint;
    }
    m_use = std::make_unique<EngineUse>(m_environment.control.engines, at.engine, m_context.model);
    m_giveUpAt = m_context.arrivedAt + RescueWithin;
    // Another node sent this call before; whatever comes, it may have run.
    m_state.apply(ExchangeEvent::SendStarted);
    m_state.apply(ExchangeEvent::ConnectionLost);
}

Conversation::~Conversation()
{
    if (!m_over) {
        leaveEngine();
    }
}

StreamPosition Conversation::position() const
{
    return {m_call.engine.id, m_call.engine.incarnation, m_call.stream, m_call.answerOffset,
            m_guard.offset()};
}

/// Ends the attempt, and the stream at the engine if it may still run there.
void Conversation::leaveEngine()
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
    leaveEngine();
    m_over = true;
    const bool late = m_guard.offset() == 0 && MonotonicClock::now() >= m_giveUpAt;
    const RefusalReason reason = late ? RefusalReason::TooLate : RefusalReason::BackendFailed;
    return {reason, std::move(detail), m_state.ran(), {}};
}

bool Conversation::engineLives() const
{
    const std::shared_ptr<const Fleet> fleet = m_environment.fleet.current();
    const EngineView *engine = findEngine(*fleet, m_call.engine.id);
    const bool heard =
            engine != nullptr
            && (engine->state == EngineState::Ready || engine->state == EngineState::Loading
                || engine->state == EngineState::Leaving);
    return heard && engine->incarnation == m_call.engine.incarnation;
}

/// No engine now. @return whether to look again later: not for a first attempt, which is refused
bool Conversation::waitForEngine(TimePoint now)
{
    const bool tried = m_state.stage() != ExchangeStage::NothingSent || m_fruitless > 0;
    m_excluded.clear();
    m_notBefore = now + LookAgainAfter;
    return tried && now < m_giveUpAt;
}

/// Begins a stream on an engine that is placed anew. @return a refusal if there is no hope of one
std::optional<Refusal> Conversation::chooseEngine(TimePoint now)
{
    if (auto refusal = refuseHeld(now)) {
        return refusal;
    }
    const std::shared_ptr<const Fleet> fleet = m_environment.fleet.current();
    EngineSlots &slots = m_environment.control.engines;
    std::vector<EngineId> closed = slots.closedFor(m_context.model, *fleet, m_excluded, now);
    closed.insert(closed.end(), m_excluded.begin(), m_excluded.end());
    std::optional<PlacedAttempt> placed =
            m_environment.control.placer.placeAttempt(m_context, *fleet, closed, m_random);
    if (!placed) {
        if (waitForEngine(now)) {
            return std::nullopt;
        }
        m_over = true;
        return Refusal{RefusalReason::NoBackend, "no engine serves the model", m_state.ran(),
                       slots.firstReturn(m_context.model, *fleet, now)};
    }
    m_call.engine = placed->engine;
    m_firstFrameAt.reset();
    m_brokenOff.reset();
    m_use = std::make_unique<EngineUse>(slots, m_call.engine.id, m_context.model);
    m_work = std::move(placed->work);
    m_predictedFirstToken = placed->firstToken;
    m_call.stream = StreamId(newUuid());
    m_call.answerOffset = m_answer.tokens();
    m_call.body = m_answer.continuedBody(m_context);
    m_fruitlessHere = 0;
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
    m_call.silence = m_context.fleet->bundle->limits.streamSilence;
    // A caller that came back: what it has is read once more, to be able to go on elsewhere.
    const bool known = m_answer.covers(m_guard.offset());
    m_call.resumeOffset = known ? m_guard.offset() : m_call.answerOffset;
    m_guard.begin(m_call.attempt);
    m_progress = false;
    m_attemptedAt = now;
    m_notBefore = now;
    m_state.apply(ExchangeEvent::SendStarted);
    m_exchange = std::make_unique<EngineExchange>(m_call, m_environment.threads);
}

/// New weights may be in service since the request was read, and no engine left with the old ones.
/// Before its first frame a request goes by those that are in service now.
void Conversation::takeWeightsInService()
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
    takeWeightsInService();
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

/// @return the frame, if it is to be handed on; an error, if the attempt is no good any more
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
    noteFrame(frame);
    return frame;
}

/// Takes in a frame that goes to the caller.
void Conversation::noteFrame(const StreamFrame &frame)
{
    const TimePoint now = MonotonicClock::now();
    if (!m_progress) {
        observe(false, now - m_attemptedAt);
    }
    if (m_context.slot) {
        m_context.slot->firstTokenCame(now);
    }
    if (m_context.slot && frame.end) {
        m_context.slot->completed();
    }
    if (frame.end) {
        m_environment.control.quarantine.answered(m_context, now);
    }
    m_firstFrameAt = m_firstFrameAt.value_or(now);
    m_brokenOff.reset();
    if (m_work) {
        teachPlacement(frame);
    }
    m_over = frame.end;
    m_progress = true;
    m_fruitless = 0;
    m_fruitlessHere = 0;
    m_excluded.clear();
}

void Conversation::teachPlacement(const StreamFrame &frame)
{
    m_work->firstTokenCame();
    if (const auto cached = cachedTokensIn(frame.data)) {
        m_work->cachedTokensTold(*cached);
    }
}

void Conversation::observe(bool failed, Duration took) const
{
    m_environment.control.engines.observe({m_call.engine.id, failed, m_predictedFirstToken, took},
                                          *m_environment.fleet.current(), MonotonicClock::now());
}

/// A stream that begins anew elsewhere before its first frame is a retry and has a budget. Free are
/// one whose caller already holds a part of the answer, and one whose engine is gone: there the
/// work is lost, and nothing is done twice at the same time.
bool Conversation::mayMove()
{
    return m_guard.offset() > 0 || !engineLives()
           || m_environment.control.retries.spend(m_context.model, m_context.customer);
}

/// Leaves the engine for another, or stays where no retry is to be had: the stream is still there,
/// and waiting for it adds no load. Refused at once, all callers of a frozen engine would come back
/// as new requests. @return the refusal, if neither will do
std::optional<Refusal> Conversation::moveElsewhere(const ExchangeFailure &why, TimePoint now)
{
    if (mayMove()) {
        m_excluded.push_back(m_call.engine.id);
        leaveEngine();
        return std::nullopt;
    }
    if (endOf(why.error) == AttemptEnd::Refused) {
        Refusal refusal = giveUp(why.detail);
        refusal.reason = RefusalReason::RetryBudgetSpent;
        refusal.retryAt =
                m_environment.control.retries.availableAt(m_context.model, m_context.customer);
        return refusal;
    }
    m_fruitlessHere = 0;
    m_notBefore = now + LookAgainAfter;
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

/// A broken connection alone shows no end: the engine must be another one or nobody afterwards.
void Conversation::noteEngineEnd(const ExchangeFailure &why, TimePoint now)
{
    if (why.error == ExchangeError::Reset && !m_brokenOff) {
        const bool hadJustBegun =
                !m_firstFrameAt || now - *m_firstFrameAt < RequestQuarantine::JustBegun;
        m_brokenOff = BrokenOff{now, hadJustBegun};
    }
    const bool isNobodyThere = why.error == ExchangeError::ConnectFailed
                               || why.error == ExchangeError::Rejected
                               || why.error == ExchangeError::Mismatch;
    if (m_brokenOff && (isNobodyThere || !engineLives())) {
        m_environment.control.quarantine.engineEnded(m_context, m_call.engine, *m_brokenOff);
        m_brokenOff.reset();
    }
}

std::optional<Refusal> Conversation::refuseHeld(TimePoint now)
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

/// The attempt under way is over. @return the refusal that ends the conversation, if it must end
std::optional<Refusal> Conversation::breakOff(const ExchangeFailure &why)
{
    const TimePoint now = MonotonicClock::now();
    m_state.apply(eventOf(why.error));
    observe(true, {});
    noteEngineEnd(why, now);
    if (auto refusal = refuseHeld(now)) {
        logAttemptEnd(why, RecoveryStep::GiveUp);
        return refusal;
    }
    if (m_progress) {
        m_giveUpAt = now + RescueWithin;
    } else {
        ++m_fruitless;
        ++m_fruitlessHere;
    }
    const RecoverySituation situation{endOf(why.error),
                                      engineLives(),
                                      m_fruitlessHere,
                                      m_fruitless,
                                      m_answer.covers(m_guard.offset()),
                                      m_giveUpAt};
    const RecoveryStep step = recover(situation, now);
    logAttemptEnd(why, step);
    if (step == RecoveryStep::GiveUp) {
        return giveUp(why.detail);
    }
    if (step == RecoveryStep::OtherEngine) {
        if (auto refusal = moveElsewhere(why, now)) {
            return refusal;
        }
    }
    m_exchange.reset();
    return std::nullopt;
}

/// When the attempt under way counts as dead, should nothing more be heard. A first frame has its
/// deadline; after it the engine may take its time, as long as the connection shows signs of life.
TimePoint Conversation::silentAt() const
{
    const TimePoint silent = m_exchange->heardAt() + m_call.silence;
    return m_guard.offset() == 0 ? std::min(silent, m_giveUpAt) : silent;
}

/// One look at the attempt under way. @return none if there is to be another look at once
std::optional<StreamStep> Conversation::readAttempt(TimePoint until)
{
    auto item = m_exchange->next(std::min(until, silentAt()));
    if (!item && item.error().error == ExchangeError::Silent) {
        const TimePoint now = MonotonicClock::now();
        if (now < silentAt()) {
            return now < until ? std::nullopt : std::optional<StreamStep>(StillWaiting{});
        }
    }
    auto accepted = item ? accept(std::move(*item)) : failure(std::move(item.error()));
    if (accepted) {
        return *accepted ? std::optional<StreamStep>(std::move(**accepted)) : std::nullopt;
    }
    auto refusal = breakOff(accepted.error());
    return refusal ? std::optional<StreamStep>(std::move(*refusal)) : std::nullopt;
}

/// Begins the next attempt once it is time for it. @return none if it is under way
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
        if (m_environment.hurried) {
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
