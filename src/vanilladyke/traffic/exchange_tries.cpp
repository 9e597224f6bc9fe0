#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

/// The part of Exchange that performs single tries and records their results.
namespace vanilladyke {

namespace {

/// A repeatable request waits this many target latencies for its first byte, then it is hedged.
constexpr int FirstByteTimeoutTargets = 3;
constexpr Duration MinFirstByteTimeout = std::chrono::milliseconds(450);
/// A wait for a place at a brittle engine that isn't halved any more.
constexpr Duration MinPlacePatience = std::chrono::milliseconds(40);
/// Another node hedges a silent server itself; it is left more time before it is hedged in turn.
constexpr int RelayTimeoutFactor = 2;

} // namespace

BackendTryPtr Exchange::makeTry(const BackendChoice &choice)
{
    if (m_headWritten) {
        m_resumeAfter = m_events.lastId();
    }
    if (choice.isRelay) {
        m_triedRelays.push_back(choice.backend.endpoint);
    } else {
        m_triedEngines.push_back(choice.backend.id);
    }
    const bool isStream = m_route->kind == RequestKind::Stream && m_request->method != "HEAD";
    const TryTerms terms{isStream, m_headWritten};
    return std::make_shared<BackendTry>(m_state, m_request, terms, choice);
}

asio::awaitable<TryResult> Exchange::perform(BackendTryPtr attempt)
{
    m_current = attempt;
    m_choice = attempt->choice();
    setAnswerDeadline(std::nullopt);
    std::optional<TryResult> end;
    if (!attempt->beganAt()) {
        end = co_await startTry(attempt);
    }
    if (!end && isDiscarded(*attempt)) {
        end = m_headWritten ? TryResult::Interrupted : TryResult::Lost;
    }
    if (!end && hasOtherSoftware(*attempt)) {
        attempt->abort(AbortReason::Unneeded);
        end = m_headWritten ? TryResult::Interrupted : TryResult::Lost;
    }
    if (!end) {
        end = co_await forward(attempt);
    }
    m_current.reset();
    if (m_hedges.empty()) {
        setAnswerDeadline(std::nullopt);
    }
    co_await finishTry(attempt, *end);
    co_return *end;
}

bool Exchange::isDiscarded(const BackendTry &attempt) const
{
    switch (attempt.abortReason()) {
    case AbortReason::Replaced:
    case AbortReason::Unneeded:
        return true;
    case AbortReason::WeightsExpire:
    case AbortReason::Quarantined:
        return !m_headWritten;
    case AbortReason::None:
    case AbortReason::CallerLeft:
    case AbortReason::CallerDeadline:
    case AbortReason::RouteTimeout:
    case AbortReason::NodeStops:
        break;
    }
    return false;
}

asio::awaitable<std::optional<TryResult>> Exchange::startTry(BackendTryPtr attempt)
{
    const EngineId &engine = attempt->choice().backend.id;
    const bool hasPlace = co_await takePlace(attempt);
    if (!hasPlace) {
        co_return TryResult::Unreached;
    }
    const bool isConnected = co_await attempt->connect();
    const TimePoint now = MonotonicClock::now();
    if (!isConnected) {
        m_state.tracker.exclude(engine, now);
        if (attempt->isRelay()) {
            m_state.relays.failed(attempt->choice().backend.endpoint, now);
        }
        m_state.metrics.count("backend_unreached_total");
        ++m_connectFailures;
        co_return TryResult::Unreached;
    }
    if (m_callerDisconnected || m_timedOut || attempt->isAborted()) {
        attempt->releaseUnused();
        co_return TryResult::Unreached;
    }
    if (!m_state.tracker.hasCapacity(engine, now)) {
        attempt->releaseUnused();
        m_state.metrics.count("limit_taken_meanwhile_total");
        ++m_connectFailures;
        co_return TryResult::Unreached;
    }
    if (m_sink.hasCallerLeft()) {
        // The loop may deliver the close long after it came: the request and its end lay unread, or
        // the close came during a wait. An event alone would come after the send.
        attempt->releaseUnused();
        logClosedBeforeSend(*attempt, now);
        callerDisconnected();
        co_return TryResult::Unreached;
    }
    if (!takeRetry(attempt, now)) {
        attempt->releaseUnused();
        m_budgetSpent = true;
        co_return TryResult::Lost;
    }
    recordSent(*attempt, now);
    if (attempt->isRelay()) {
        attempt->sendToRelay(relayOptions());
    } else {
        attempt->send(optionsFor(attempt->choice()));
    }
    std::optional<TimePoint> firstByteDeadline;
    if (isRepeatable()) {
        const Duration timeout = std::max<Duration>(
                m_route->targetLatency * FirstByteTimeoutTargets, MinFirstByteTimeout);
        firstByteDeadline = now + timeout * (attempt->isRelay() ? RelayTimeoutFactor : 1);
    }
    setAnswerDeadline(firstByteDeadline);
    const std::optional<TryResult> end = co_await attempt->receiveStart();
    if (end == TryResult::NotExecuted) {
        --m_runs;
        attempt->apply(ExchangeEvent::RefusalReceived);
    } else if (end) {
        attempt->apply(ExchangeEvent::ConnectionLost);
    }
    co_return end;
}

asio::awaitable<bool> Exchange::takePlace(BackendTryPtr attempt)
{
    const EngineId engine = attempt->choice().backend.id;
    const std::optional<double> rejections =
            attempt->isRelay() ? std::nullopt : m_state.tracker.rejectionsOf(engine);
    if (!rejections || !m_state.settings.rates.enforcesLimits) {
        co_return true;
    }
    const TimePoint now = MonotonicClock::now();
    PlaceQuery query;
    query.engine = engine;
    query.rejections = *rejections;
    query.tokens = static_cast<double>(m_request->promptTokens + m_request->maxOutputTokens);
    query.urgency = urgency();
    const TimePoint latest = std::min(m_waitUntil, m_deadline - MinTimeForTry);
    // Half of the time is left for other engines, whose queues may be shorter.
    const Duration left = std::max<Duration>(latest - now, Duration::zero());
    query.patience = std::min<Duration>(left, std::max<Duration>(left / 2, MinPlacePatience));
    const PlaceReply reply = co_await m_state.askPlace(query);
    if (reply.isGranted) {
        attempt->holdPlace(reply.ticket);
        co_return true;
    }
    const TimePoint deniedAt = MonotonicClock::now();
    m_state.tracker.placeDenied(engine, deniedAt);
    m_placeExpectedAt =
            std::min(m_placeExpectedAt.value_or(TimePoint::max()), deniedAt + reply.retryAfter);
    LogEvent("place_denied")
            .field("id", m_request->id)
            .field("backend", engine.str())
            .field("grantor", reply.ticket.grantor)
            .field("silent", reply.isSilent)
            .field("patience_ms", query.patience)
            .field("retry_ms", reply.retryAfter);
    co_return false;
}

bool Exchange::takeRetry(const BackendTryPtr &attempt, TimePoint now)
{
    const bool isFirst = m_sends == 0;
    const bool isAllowed =
            isFirst || m_hasReservedRetry || m_state.retryBudget.spend(m_service, now);
    m_hasReservedRetry = false;
    if (!isFirst) {
        logRetry(attempt, isAllowed, now);
    }
    return isAllowed;
}

std::string_view Exchange::retryReason(const BackendTryPtr &attempt) const
{
    if (std::find(m_hedges.begin(), m_hedges.end(), attempt) != m_hedges.end()) {
        return "silent";
    }
    return m_lastEnd ? toString(*m_lastEnd) : "none";
}

void Exchange::recordSent(const BackendTry &attempt, TimePoint now)
{
    const BackendChoice &choice = attempt.choice();
    ++m_sends;
    ++m_runs;
    m_lastSentAt = now;
    if (m_sends > 1 || attempt.isRelay() || m_request->relay) {
        logRun(attempt);
    }
    if (attempt.isRelay()) {
        m_state.relays.sent(choice.backend.endpoint);
        return;
    }
    const BackendQuery sentQuery = query();
    const auto weightsEnd = m_state.tracker.weightsEnd(choice.backend.id, m_request->model);
    m_weightsTimeLeft = weightsEnd ? std::optional(*weightsEnd - now) : std::nullopt;
    m_state.tracker.sent(choice, sentQuery, now);
    if (m_state.tracker.limitOf(choice.backend.id)) {
        m_state.metrics.count("requests_to_limited_engines_total");
        m_state.notifyPeers(); // all nodes share this limit
    }
    if (m_state.tracker.isBrittle(choice.backend.id)) {
        m_state.metrics.count("requests_to_brittle_engines_total");
    }
    if (choice.saveTo) {
        const std::string salt = cacheSalt(sentQuery.model, choice.weights, sentQuery.cacheGroup);
        m_state.keptCache.recordSaved(KeptCacheView::keyOf(salt, sentQuery.sharedPart), now);
    }
}

asio::awaitable<void> Exchange::finishTry(BackendTryPtr attempt, TryResult end)
{
    attempt->returnPlace(end);
    if (!attempt->sentAt()) {
        co_return;
    }
    const TimePoint now = MonotonicClock::now();
    const AbortReason reason = attempt->abortReason();
    m_lastAbort = reason;
    m_lastEnd = end;
    m_ownAborts += isOwnChoice(reason) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || attempt->ran() != Ran::No;
    const bool hasEndedEarly = end == TryResult::Lost || end == TryResult::Interrupted;
    const bool isServersFault = !m_callerDisconnected && reason != AbortReason::Quarantined
                                && reason != AbortReason::Unneeded;
    const bool failed = end == TryResult::Failed || (hasEndedEarly && isServersFault);
    if (attempt->isRelay()) {
        finishRelay(*attempt, end, now);
    } else {
        m_state.tracker.ended(attempt->choice(), attempt->beganAt().has_value(), failed, now);
        if (end == TryResult::Delivered || end == TryResult::Failed || end == TryResult::Kept) {
            recordCompleteAnswer(end == TryResult::Delivered);
        }
    }
    if (end == TryResult::Lost && isLeftAsSilent(reason)) {
        m_state.tracker.exclude(attempt->choice().backend.id, now);
    }
    if (end == TryResult::Delivered) {
        co_return;
    }
    if (hasEndedEarly) {
        recordLeft(*attempt);
    }
    attempt->close();
    if (hasEndedEarly && !attempt->isAborted() && !m_callerDisconnected) {
        co_await recordEngineEnd(attempt);
    }
    logFailedTry(*attempt, end);
}

void Exchange::recordLeft(const BackendTry &attempt)
{
    const EngineId &server = attempt.choice().backend.id;
    std::erase(m_leftServers, server);
    const AbortReason reason = attempt.abortReason();
    if (reason == AbortReason::Replaced || reason == AbortReason::Unneeded) {
        m_leftServers.push_back(server);
    }
}

Ran Exchange::ran() const
{
    // A hedge that was aborted may have run, too, until its end is recorded.
    bool mayHaveRun = m_mayHaveRun || m_current != nullptr || m_successor != nullptr;
    for (const BackendTryPtr &hedge : m_hedges) {
        mayHaveRun = mayHaveRun || hedge->ran() != Ran::No;
    }
    return mayHaveRun ? Ran::Unknown : Ran::No;
}

} // namespace vanilladyke
