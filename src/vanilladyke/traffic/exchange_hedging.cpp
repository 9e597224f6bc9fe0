#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

/// The part of Exchange that watches its deadlines, hedges silent tries and ends tries.
namespace vanilladyke {

namespace {

/// Extension of a try's deadline while received bytes are unread: they are read within a few
/// iterations of the event loop.
constexpr Duration UnreadDataExtension = std::chrono::milliseconds(100);
/// So often in sequence. A server may send bytes that never make an answer, a few at a time.
constexpr int MaxUnreadDataExtensions = 5;
/// Interval at which a waiting request is checked for newly announced weights.
constexpr Duration WeightsCheckInterval = std::chrono::seconds(1);
/// Interval at which a second server is looked for again while a try is silent.
constexpr Duration HedgeRetryInterval = std::chrono::milliseconds(200);

} // namespace

std::vector<BackendTryPtr> Exchange::openTries() const
{
    std::vector<BackendTryPtr> tries = m_hedges;
    tries.push_back(m_current);
    tries.push_back(m_successor);
    std::erase_if(tries,
                  [](const BackendTryPtr &each) { return each == nullptr || each->isAborted(); });
    return tries;
}

void Exchange::setAnswerDeadline(std::optional<TimePoint> until)
{
    m_answerDeadline = until;
    m_unreadDataExtensions = 0;
    scheduleTimer(MonotonicClock::now());
}

void Exchange::scheduleTimer(TimePoint now)
{
    TimePoint next = m_deadline;
    if (!m_request->model.empty()) {
        // New weights may be announced while the request waits.
        next = std::min(next, now + WeightsCheckInterval);
        if (m_current != nullptr) {
            next = std::min(next, scheduleWithdrawal(*m_current, now).value_or(next));
        }
        for (const BackendTryPtr &hedge : m_hedges) {
            next = std::min(next, scheduleWithdrawal(*hedge, now).value_or(next));
        }
    }
    m_deadlineTimer->dueAt = std::min(next, m_answerDeadline.value_or(next));
}

std::optional<TimePoint> Exchange::scheduleWithdrawal(const BackendTry &attempt, TimePoint now)
{
    const std::optional<TimePoint> end = weightsEnd(attempt);
    if (!end) {
        return std::nullopt;
    }
    const TimePoint hedgedAt = *end - m_state.settings.expiryHedgeMargin;
    if (hedgedAt > now) {
        m_answerDeadline = std::min(m_answerDeadline.value_or(hedgedAt), hedgedAt);
    }
    return *end - m_state.settings.withdrawMargin;
}

void Exchange::endBeforeStop(TrafficState &state)
{
    const TimePoint now = MonotonicClock::now();
    for (Exchange *each : *state.openExchanges) {
        if (each->m_route != nullptr && !each->m_isOver) {
            each->limitToStop();
            each->scheduleTimer(now);
        }
    }
}

void Exchange::onDeadline()
{
    const TimePoint now = MonotonicClock::now();
    if (now >= m_deadline) {
        m_timedOut = true;
        abortTries(m_deadlineReason);
        return;
    }
    withdrawExpiring(now);
    if (m_answerDeadline && now >= *m_answerDeadline) {
        m_answerDeadline.reset();
        onSilence(now);
    }
    scheduleTimer(now);
}

std::optional<TimePoint> Exchange::weightsEnd(const BackendTry &attempt) const
{
    if (!attempt.isWaiting() || attempt.isAborted() || !m_state.settings.withdrawsRequests) {
        return std::nullopt;
    }
    return m_state.tracker.weightsEnd(attempt.choice().backend.id, m_request->model);
}

void Exchange::withdrawExpiring(TimePoint now)
{
    for (const BackendTryPtr &attempt : openTries()) {
        const std::optional<TimePoint> end = weightsEnd(*attempt);
        if (end && now >= *end - m_state.settings.withdrawMargin && !attempt->hasUnreadData()) {
            m_state.metrics.count("requests_withdrawn_total");
            attempt->abort(AbortReason::WeightsExpire);
        }
    }
}

void Exchange::onSilence(TimePoint now)
{
    const std::vector<BackendTryPtr> tries = openTries();
    if (tries.empty()) {
        return;
    }
    const bool hasUnreadData =
            std::any_of(tries.begin(), tries.end(),
                        [](const BackendTryPtr &each) { return each->hasUnreadData(); });
    const bool hasData = hasUnreadData && m_unreadDataExtensions < MaxUnreadDataExtensions;
    m_unreadDataExtensions += hasData ? 1 : 0;
    if (hasData || m_isWriting || m_successor != nullptr) {
        // Data has arrived and this node has not read or forwarded it yet, so the server is not
        // silent.
        m_answerDeadline = now + UnreadDataExtension;
        return;
    }
    const std::optional<BackendChoice> choice =
            tries.size() < MaxOpenTries ? reserveHedge(now) : std::nullopt;
    if (!choice) {
        m_answerDeadline = now + HedgeRetryInterval;
        return;
    }
    startHedge(*choice, now);
}

std::optional<BackendChoice> Exchange::reserveHedge(TimePoint now)
{
    if (!mayTryAgain(now)) {
        return std::nullopt;
    }
    const auto choice = chooseTarget(now);
    if (!choice) {
        return std::nullopt;
    }
    m_hasReservedRetry = m_hasReservedRetry || m_state.retryBudget.spend(m_service, now);
    if (!m_hasReservedRetry) {
        m_state.metrics.count("retries_denied_total{reason=\"silent\"}");
        m_denial = FurtherTryDenial::BudgetSpent;
        return std::nullopt;
    }
    return *choice;
}

void Exchange::startHedge(const BackendChoice &choice, TimePoint now)
{
    const BackendTryPtr silent = openTries().back();
    const BackendTryPtr hedge = makeTry(choice);
    m_hedges.push_back(hedge);
    ++m_hedgesStarted;
    m_state.metrics.count("hedges_total");
    LogEvent("request_hedged")
            .field("id", m_request->id)
            .field("backend", silent->choice().backend.id.str())
            .field("after_ms", now - silent->sentAt().value_or(now))
            .field("began", silent->beganAt().has_value())
            .field("second", choice.backend.id.str())
            .field("wait_ms", std::chrono::duration_cast<Duration>(choice.wait))
            .field("sends", m_sends);
    asio::co_spawn(
            m_state.context,
            [self = shared_from_this(), hedge]() -> asio::awaitable<void> {
                co_await self->runHedge(hedge);
            },
            asio::detached);
}

asio::awaitable<void> Exchange::runHedge(BackendTryPtr hedge)
{
    std::optional<TryResult> end = co_await startTry(hedge);
    std::erase(m_hedges, hedge);
    if (!end && m_isOver) {
        hedge->abort(AbortReason::Unneeded);
    }
    if (!end && hedge->isAborted()) {
        end = TryResult::Lost;
    }
    if (!end && rankOf(hedge->head().status) != AnswerRank::Final) {
        end = keepError(*hedge);
    }
    if (!end) {
        m_state.metrics.count("hedges_won_total");
        for (const BackendTryPtr &other : openTries()) {
            other->abort(AbortReason::Replaced);
        }
        m_successor = hedge;
    } else if (!hedge->isAborted() && (m_current != nullptr || !m_hedges.empty())) {
        setAnswerDeadline(MonotonicClock::now()); // the other server is still silent
    }
    m_wait.cancel();
    if (end) {
        co_await finishTry(hedge, *end);
    }
}

void Exchange::dropHedges()
{
    for (const BackendTryPtr &hedge : m_hedges) {
        hedge->abort(AbortReason::Unneeded);
    }
}

asio::awaitable<BackendTryPtr> Exchange::takeSuccessor()
{
    while (m_successor == nullptr && !m_hedges.empty() && !m_timedOut && !m_callerDisconnected) {
        co_await waitUntil(TimePoint::max());
    }
    co_return std::exchange(m_successor, nullptr);
}

void Exchange::abortTries(AbortReason reason)
{
    m_wait.cancel();
    for (const BackendTryPtr &attempt : openTries()) {
        attempt->abort(reason);
    }
}

void Exchange::callerDisconnected()
{
    if (m_callerDisconnected) {
        return;
    }
    m_callerDisconnected = true;
    LogEvent("caller_left")
            .field("id", m_request->id)
            .field("sends", m_sends)
            .field("open_tries", openTries().size())
            .field("after_ms", MonotonicClock::now() - m_request->arrived);
    abortTries(AbortReason::CallerLeft);
}

} // namespace vanilladyke
