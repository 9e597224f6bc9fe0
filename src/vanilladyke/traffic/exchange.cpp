#include "vanilladyke/traffic/exchange.hpp"

#include <algorithm>

/// The part of Exchange that admits a request and decides on the sequence of its tries.
namespace vanilladyke {

namespace {

/// Open requests that a node takes from other nodes, so that its own callers still get its time.
constexpr int MaxOpenRelayed = 200;
/// A node that stops takes no request that could last so many target latencies and be cut then.
constexpr int TargetsBeforeStop = 3;

} // namespace

Exchange::Exchange(TrafficState &state, CallerRequest request, AnswerSink &sink)
    : m_state(state)
    , m_request(std::make_shared<const CallerRequest>(std::move(request)))
    , m_sink(sink)
    , m_openExchanges(state.openExchanges)
    , m_openRelayed(state.openRelayed)
    , m_table(state.table)
    , m_deadlineTimer(std::make_shared<DeadlineTimer>())
    , m_wait(state.context)
{
    m_openExchanges->insert(this);
    *m_openRelayed += m_request->relay ? 1 : 0;
}

Exchange::~Exchange()
{
    m_openExchanges->erase(this);
    *m_openRelayed -= m_request->relay ? 1 : 0;
}

asio::awaitable<ExchangeResult> Exchange::run()
{
    if (const std::optional<Refusal> refusal = admit()) {
        std::optional<Duration> after;
        if (refusal->retryAt) {
            after = *refusal->retryAt - MonotonicClock::now();
        }
        co_return co_await refuse(httpStatus(refusal->reason), toString(refusal->reason), after);
    }
    const ExchangeResult result = co_await serve();
    returnUnusedCharge();
    co_return result;
}

asio::awaitable<ExchangeResult> Exchange::serve()
{
    const bool isTakenUp = m_route->kind == RequestKind::Stream && !m_resumeAfter.empty();
    if (isTakenUp && !co_await bindToOrigin()) {
        co_return co_await refuse(httpStatus(RefusalReason::UnknownOrigin),
                                  toString(RefusalReason::UnknownOrigin), std::nullopt);
    }
    if (!m_request->relay) { // else the node that the caller asked has counted it
        m_state.retryBudget.countRequest(m_service, m_request->arrived);
    }
    m_state.ticker.add(m_deadlineTimer);
    m_deadlineTimer->onDue = [this] { onDeadline(); };
    setAnswerDeadline(std::nullopt);
    BackendTryPtr attempt = co_await nextTry();
    while (attempt != nullptr) {
        const TryResult end = co_await perform(attempt);
        if (end == TryResult::Delivered) {
            log(m_status, "answered");
            co_await endOpenTries();
            co_return ExchangeResult::Answered;
        }
        attempt = co_await takeSuccessor();
        const TimePoint now = MonotonicClock::now();
        if (attempt == nullptr && mayTryAgain(now)) {
            if (end == TryResult::Interrupted) {
                m_waitUntil = m_deadline; // the caller has a part of the answer already
            }
            attempt = co_await nextTry();
        }
    }
    const ExchangeResult result = co_await finishUnanswered();
    co_await endOpenTries();
    co_return result;
}

std::optional<Refusal> Exchange::admit()
{
    const TimePoint now = m_request->arrived;
    if (m_state.isShuttingDown) {
        return Refusal{RefusalReason::ShuttingDown, "node is stopping", Ran::No, now};
    }
    if (m_request->relay && *m_openRelayed > MaxOpenRelayed) {
        return Refusal{RefusalReason::QueueFull, "too many requests of other nodes", Ran::No,
                       now + RelayNodes::FailurePause};
    }
    // The next freshness proof of the configuration is due within about a second.
    const TimePoint nextProof = now + std::chrono::seconds(1);
    if (m_table == nullptr) {
        return Refusal{RefusalReason::NotReady, "no configuration yet", Ran::No, nextProof};
    }
    const bool isFresh = m_state.isFresh();
    m_route = m_table->find(m_request->host, m_request->target);
    if (m_route == nullptr) {
        if (!isFresh) {
            return Refusal{RefusalReason::NotReady, "configuration may be old", Ran::No, nextProof};
        }
        return Refusal{RefusalReason::UnknownService, "no such route", Ran::No, std::nullopt};
    }
    const Duration expected =
            std::min<Duration>(m_route->timeout, m_route->targetLatency * TargetsBeforeStop);
    if (m_state.stopsAt && *m_state.stopsAt - now < expected) {
        return Refusal{RefusalReason::ShuttingDown, "node is stopping", Ran::No, now};
    }
    if (m_table->needsKeys() && !m_route->isPublic) {
        if (!isFresh && m_state.settings.failsClosed) {
            return Refusal{RefusalReason::NotReady, "keys may be old", Ran::No, nextProof};
        }
        m_customer = m_request->key ? m_table->customerOf(*m_request->key) : nullptr;
        if (m_customer == nullptr) {
            return Refusal{RefusalReason::UnknownCustomer, "unknown key", Ran::No, std::nullopt};
        }
    }
    if (const auto until = heldUntil(now)) {
        return Refusal{RefusalReason::EndsEngines, "engines ended under it", Ran::No, until};
    }
    std::optional<Refusal> overQuota = chargeQuota(now);
    if (overQuota) {
        return overQuota;
    }
    m_service = RouteTable::pickService(*m_route, uniform(m_state.random));
    m_resumeAfter = m_request->lastEventId;
    if (m_route->kind == RequestKind::Stream && m_resumeAfter.empty() && !m_request->relay) {
        m_state.software.observeLifetime(m_service, comesBackUntil() - now);
    }
    // After half the target it is better for the caller to try another node.
    m_waitUntil = now + m_route->targetLatency / 2;
    m_deadline = m_request->headArrived.value_or(now) + m_route->timeout;
    if (m_request->deadline && *m_request->deadline < m_deadline) {
        m_deadline = *m_request->deadline;
        m_deadlineReason = AbortReason::CallerDeadline;
    }
    limitToStop();
    return std::nullopt;
}

void Exchange::limitToStop()
{
    if (m_state.stopsAt && *m_state.stopsAt < m_deadline) {
        m_deadline = *m_state.stopsAt;
        m_deadlineReason = AbortReason::NodeStops;
    }
}

asio::awaitable<void> Exchange::endOpenTries()
{
    m_isOver = true;
    m_deadlineTimer->dueAt.reset();
    dropHedges();
    if (const BackendTryPtr unused = std::exchange(m_successor, nullptr)) {
        unused->abort(AbortReason::Unneeded);
        co_await finishTry(unused, TryResult::Lost);
    }
}

asio::awaitable<void> Exchange::waitUntil(TimePoint until)
{
    m_wait.expires_at(until);
    ErrorCode ignored;
    co_await m_wait.async_wait(redirectError(ignored));
}

asio::awaitable<void> Exchange::pauseBeforeResuming()
{
    const TimePoint until = std::min(m_lastSentAt + pauseBeforeSend(m_sends), m_deadline);
    if (m_headWritten && until > MonotonicClock::now()) {
        co_await waitUntil(until);
    }
}

asio::awaitable<BackendTryPtr> Exchange::nextTry()
{
    co_await pauseBeforeResuming();
    for (;;) {
        const TimePoint now = MonotonicClock::now();
        if (isVersionGone()) {
            co_return nullptr; // none may come back in time, and the caller may begin anew
        }
        if (m_callerDisconnected || m_timedOut || m_deadline - now < MinTimeForTry
            || heldUntil(now)) {
            co_return nullptr;
        }
        const auto choice = chooseTarget(now);
        if (!choice) {
            m_noBackend = choice.error();
            if (m_isCutOff && !m_headWritten && ran() == Ran::No) {
                co_return nullptr; // waiting here would only keep the caller from another node
            }
            const bool mayBecomeAvailable = co_await waitForBackend(choice.error());
            if (!mayBecomeAvailable) {
                co_return nullptr;
            }
            continue;
        }
        m_choice = *choice;
        if (const auto until = retryTimeIfTooLate(*choice, now)) {
            m_noBackend = {true, *until};
            m_isTooLate = true;
            co_return nullptr;
        }
        co_return makeTry(*choice);
    }
}

asio::awaitable<bool> Exchange::waitForBackend(const NoBackend &none)
{
    constexpr Duration Pause = std::chrono::milliseconds(20);
    constexpr Duration MinWait = std::chrono::milliseconds(5);
    const TimePoint now = MonotonicClock::now();
    if (m_headWritten) {
        m_triedRelays.clear();
    }
    const TimePoint latest = std::min(m_waitUntil, m_deadline - MinTimeForTry);
    const bool isTooLate = none.retryAt > latest || now >= latest;
    const bool areOnlyTried = none.isKnown && !m_triedEngines.empty();
    // Servers that were tried may have room by now. If the caller has a part of the answer, they
    // are asked before others become available.
    if (areOnlyTried && (m_headWritten || (isTooLate && now < latest))) {
        m_triedEngines.clear();
        co_await waitUntil(now + Pause);
        co_return mayTryAgain(MonotonicClock::now());
    }
    if (isTooLate) {
        co_return false;
    }
    co_await waitUntil(std::max(none.retryAt, now + MinWait));
    co_return true;
}

bool Exchange::isRepeatable() const
{
    return m_route->kind == RequestKind::Safe
           || (m_route->kind == RequestKind::Stream && m_route->isResumable);
}

int Exchange::mostServers() const
{
    return m_request->relay ? std::min(m_route->mostBackends, m_request->relay->mostServers)
                            : m_route->mostBackends;
}

bool Exchange::isBoundToLeftServers() const
{
    return m_headWritten && m_runs >= mostServers();
}

bool Exchange::canReturn(TimePoint now) const
{
    return openTries().empty() && m_state.reach.reach(m_service, now) != Reach::None
           && std::any_of(m_leftServers.begin(), m_leftServers.end(), [this](const EngineId &each) {
                  return m_software ? m_state.tracker.hasSoftware(each, *m_software)
                                    : m_state.tracker.contains(each);
              });
}

bool Exchange::mayTryAgain(TimePoint now)
{
    FurtherTryState state;
    state.isRepeatable = isRepeatable();
    state.retriesRequests = m_state.settings.retriesRequests;
    state.resumesStreams = m_state.settings.resumesStreams;
    state.hasPartialAnswer = m_headWritten;
    state.hasEventId = !m_events.lastId().empty();
    state.isOriginUnknown = !m_software;
    state.isQuarantined = heldUntil(now).has_value();
    state.isCallerGone = m_callerDisconnected;
    state.isBudgetSpent = m_budgetSpent;
    state.isAnswered = isAnswered();
    state.sends = m_sends;
    state.mayHaveRun = m_runs;
    state.maxServers = mostServers();
    state.canReturn = canReturn(now);
    state.connectFailures = m_connectFailures;
    state.deadline = m_deadline;
    m_denial = denyFurtherTry(state, now);
    return !m_denial;
}

} // namespace vanilladyke
