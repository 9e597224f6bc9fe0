#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

/// Upper bound of an answer's body, in bytes.
constexpr std::uint64_t MaxAnswerBytes = 256ULL << 20U;
/// Number of answers to other requests that are skipped on a connection before it is given up.
constexpr int MaxStrayAnswers = 3;
/// Limit of tries before a part of an answer was delivered. Servers that refuse without running the
/// request count as well: each such try still adds to their load.
constexpr int MaxSends = 4;
constexpr int MaxConnectFailures = 6;
/// Longer prompts are less urgent than short ones of the same priority: one of them takes as long
/// as many short ones.
constexpr std::uint64_t LongPromptTokens = 2048;
/// A repeatable request waits this many target latencies for its first byte, then tries another
/// server.
constexpr int FirstByteTimeoutTargets = 3;
constexpr Duration MinFirstByteTimeout = std::chrono::milliseconds(450);
/// Limit of tries once a part of a stream was delivered. It is higher than MaxSends, because a
/// failure then loses what the caller already has.
constexpr int MaxStreamSends = 12;
constexpr Duration ResumeWaitTime = std::chrono::milliseconds(900);
/// Extension of a try's deadline while received bytes are unread: they are read within a few
/// iterations of the event loop.
constexpr Duration UnreadDataExtension = std::chrono::milliseconds(100);
/// Covers the time to remove a request from an engine's queue and the delay of weights updates.
constexpr Duration WithdrawMargin = std::chrono::milliseconds(800);
/// Interval at which a waiting request is checked for newly announced weights.
constexpr Duration WeightsCheckInterval = std::chrono::seconds(1);

/// Part that determines the preferred engine: the first that ends at or after half of the shared
/// tokens. Prompts that differ only in later parts then prefer the same engine.
std::string preferredEnginePart(const std::vector<PromptPart> &parts, std::uint64_t shared)
{
    std::uint64_t reached = 0;
    for (const PromptPart &part : parts) {
        reached += part.tokens;
        if (2 * reached >= shared) {
            return part.id;
        }
    }
    return {};
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

Exchange::Exchange(TrafficState &state, CallerRequest request, AnswerSink &sink)
    : m_state(state)
    , m_request(std::move(request))
    , m_sink(sink)
    , m_openExchanges(state.openExchanges)
    , m_table(state.table)
    , m_deadlineTimer(std::make_shared<DeadlineTimer>())
    , m_wait(state.context)
{
    m_openExchanges->insert(this);
}

Exchange::~Exchange()
{
    m_openExchanges->erase(this);
}

std::string_view Exchange::nameOf(TryResult end)
{
    switch (end) {
    case TryResult::Delivered:
        return "delivered";
    case TryResult::NotExecuted:
        return "not_executed";
    case TryResult::Unreached:
        return "unreached";
    case TryResult::Failed:
        return "failed";
    case TryResult::Lost:
        return "lost";
    case TryResult::Interrupted:
        return "interrupted";
    }
    return "unknown";
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
    m_state.retryBudget.countRequest(m_service, m_request.arrived);
    m_state.ticker.add(m_deadlineTimer);
    m_deadlineTimer->onDue = [this] { onDeadline(); };
    setAnswerDeadline(std::nullopt);
    int connectFailures = 0;
    for (;;) {
        const TimePoint now = MonotonicClock::now();
        if (m_callerDisconnected || m_timedOut || m_deadline - now < MinTimeForTry) {
            break;
        }
        if (heldUntil(now)) {
            break;
        }
        const auto choice = m_state.tracker.choose(query(), now);
        if (!choice) {
            m_noBackend = choice.error();
            const bool mayBecomeAvailable = co_await waitForBackend(choice.error());
            if (!mayBecomeAvailable) {
                break;
            }
            continue;
        }
        m_choice = *choice;
        if (const auto until = retryTimeIfTooLate(*choice, now)) {
            m_noBackend = {true, *until};
            m_isTooLate = true;
            break;
        }
        const TryResult end = co_await tryBackend(*choice);
        if (end == TryResult::Delivered) {
            log(m_status, "answered");
            co_return ExchangeResult::Answered;
        }
        m_triedEngines.push_back(choice->backend.id);
        if (end == TryResult::Unreached) {
            if (++connectFailures >= MaxConnectFailures) {
                break;
            }
            continue;
        }
        if (m_callerDisconnected || m_timedOut || !mayRetry(end)) {
            break;
        }
        if (end == TryResult::Interrupted) {
            m_resumeAfter = m_events.lastId();
            m_waitUntil = MonotonicClock::now() + ResumeWaitTime;
        }
    }
    co_return co_await finishUnanswered();
}

std::optional<Refusal> Exchange::admit()
{
    const TimePoint now = m_request.arrived;
    if (m_state.isShuttingDown) {
        return Refusal{RefusalReason::ShuttingDown, "node is stopping", Ran::No, now};
    }
    // The next freshness proof of the configuration is due within about a second.
    const TimePoint nextProof = now + std::chrono::seconds(1);
    if (m_table == nullptr) {
        return Refusal{RefusalReason::NotReady, "no configuration yet", Ran::No, nextProof};
    }
    const bool isFresh = m_state.isFresh();
    m_route = m_table->find(m_request.host, m_request.target);
    if (m_route == nullptr) {
        if (!isFresh) {
            return Refusal{RefusalReason::NotReady, "configuration may be old", Ran::No, nextProof};
        }
        return Refusal{RefusalReason::UnknownService, "no such route", Ran::No, std::nullopt};
    }
    if (m_table->needsKeys() && !m_route->isPublic) {
        if (!isFresh && m_state.settings.failsClosed) {
            return Refusal{RefusalReason::NotReady, "keys may be old", Ran::No, nextProof};
        }
        m_customer = m_request.key ? m_table->customerOf(*m_request.key) : nullptr;
        if (m_customer == nullptr) {
            return Refusal{RefusalReason::UnknownCustomer, "unknown key", Ran::No, std::nullopt};
        }
    }
    if (const auto until = heldUntil(now)) {
        return Refusal{RefusalReason::EndsEngines, "engines ended under it", Ran::No, until};
    }
    m_service = RouteTable::pickService(*m_route, uniform(m_state.random));
    m_resumeAfter = m_request.lastEventId;
    // After half the target it is better for the caller to try another node.
    m_waitUntil = now + m_route->targetLatency / 2;
    m_deadline = now + m_route->timeout;
    if (m_request.deadline) {
        m_deadline = std::min(m_deadline, *m_request.deadline);
    }
    return std::nullopt;
}

BackendQuery Exchange::query() const
{
    BackendQuery result;
    result.service = m_service;
    result.model = m_request.model;
    result.minPreferredTokens = m_state.tracker.minPreferredTokens(m_service);
    result.target = m_route->targetLatency;
    result.urgency = urgency();
    result.exclude = m_triedEngines;
    const bool hasStore = m_state.settings.rates.usesKeptStore && m_state.keptCache.stores() > 0;
    result.kept = hasStore ? &m_state.keptCache : nullptr;
    if (const ServiceSpec *service = m_table->service(m_service)) {
        result.memoryTokens = service->cacheTokens;
    }
    result.ownTokens = m_request.promptTokens;
    if (m_request.parts.size() > 1) {
        std::uint64_t shared = 0;
        for (std::size_t i = 0; i + 1 < m_request.parts.size(); ++i) {
            shared += m_request.parts[i].tokens;
        }
        if (m_state.settings.rates.prefersByCommonBeginning) {
            result.preferencePart = preferredEnginePart(m_request.parts, shared);
        }
        result.sharedPart = m_request.parts[m_request.parts.size() - 2].id;
        if (m_customer != nullptr && m_customer->isIsolated) {
            result.isolated = m_customer->id;
        }
        result.sharedTokens = shared;
        result.ownTokens -= std::min(result.ownTokens, shared);
    }
    return result;
}

int Exchange::urgency() const
{
    int rank = m_route->priority;
    if (m_customer != nullptr && m_customer->priority) {
        rank = *m_customer->priority;
    }
    const bool isLong = m_request.promptTokens > LongPromptTokens;
    return std::clamp(1 + 2 * rank + (isLong ? 1 : 0), 0, PrefillBacklog::Urgencies - 1);
}

std::optional<TimePoint> Exchange::retryTimeIfTooLate(const BackendChoice &choice,
                                                      TimePoint now) const
{
    if (m_request.model.empty() || m_headWritten || m_sends > 0) {
        return std::nullopt;
    }
    const double most = m_state.settings.rates.maxWaitFraction;
    return refusedUntil({m_route->targetLatency, m_deadline, most}, choice.wait, now);
}

BackendRequestOptions Exchange::optionsFor(const BackendChoice &choice) const
{
    BackendRequestOptions options;
    options.deadline = m_deadline;
    options.expectedEngine = choice.backend.id;
    options.weights = choice.weights;
    if (m_customer != nullptr) {
        options.customer = m_customer->id;
    }
    options.urgency = urgency();
    options.resumeAfter = m_resumeAfter;
    if (m_request.parts.empty()) {
        return options;
    }
    if (choice.weights == 0) {
        // Cached work is valid for one version of the weights only. The version is unknown here, so
        // the salt is unique and nothing is shared.
        options.cacheSalt = "alone-" + m_request.id;
        return options;
    }
    const bool isIsolated = m_customer != nullptr && m_customer->isIsolated;
    options.cacheSalt =
            cacheSalt(m_request.model, choice.weights, isIsolated ? m_customer->id : CustomerId());
    options.fetchFrom = choice.fetchFrom;
    // Set only if the store lacks the shared part. Saving the request's own part as well would
    // evict shared parts.
    options.saveTo = choice.saveTo;
    return options;
}

asio::awaitable<bool> Exchange::waitForBackend(const NoBackend &none)
{
    const TimePoint now = MonotonicClock::now();
    const TimePoint latest = std::min(m_waitUntil, m_deadline - MinTimeForTry);
    const bool triedAll = !m_triedEngines.empty() && m_noBackend.retryAt > latest;
    if (triedAll || none.retryAt > latest || now >= latest) {
        if (none.isKnown && !m_triedEngines.empty() && now < latest) {
            m_triedEngines.clear(); // a server that refused before may have room by now
            constexpr Duration Pause = std::chrono::milliseconds(20);
            m_wait.expires_after(Pause);
            ErrorCode ignored;
            co_await m_wait.async_wait(redirectError(ignored));
            co_return m_sends < maxSends();
        }
        co_return false;
    }
    m_wait.expires_after(std::max<Duration>(none.retryAt - now, std::chrono::milliseconds(5)));
    ErrorCode ignored;
    co_await m_wait.async_wait(redirectError(ignored));
    co_return true;
}

asio::awaitable<BackendConnectionPtr> Exchange::connectionTo(const BackendChoice &choice)
{
    BackendConnectionPtr connection = m_state.pool.take(choice.backend.id, MonotonicClock::now());
    if (connection != nullptr) {
        co_return connection;
    }
    co_return co_await m_state.pool.connect(choice.backend.id, choice.backend.endpoint);
}

asio::awaitable<Exchange::TryResult> Exchange::tryBackend(const BackendChoice &choice)
{
    const BackendConnectionPtr connection = co_await connectionTo(choice);
    if (connection == nullptr) {
        m_state.tracker.exclude(choice.backend.id, MonotonicClock::now());
        m_state.metrics.count("backend_unreached_total");
        co_return TryResult::Unreached;
    }
    if (m_callerDisconnected || m_timedOut) {
        m_state.pool.putBack(connection, std::nullopt, MonotonicClock::now());
        co_return TryResult::Unreached;
    }
    const TimePoint now = MonotonicClock::now();
    if (!m_state.tracker.hasCapacity(choice.backend.id, now)) {
        m_state.pool.putBack(connection, std::nullopt, now);
        m_state.metrics.count("limit_taken_meanwhile_total");
        co_return TryResult::Unreached;
    }
    if (m_sends > 0 && !m_hasReservedRetry && !m_state.retryBudget.spend(m_service, now)) {
        m_state.pool.putBack(connection, std::nullopt, now);
        m_budgetSpent = true;
        co_return TryResult::Lost;
    }
    m_hasReservedRetry = false;
    ++m_sends;
    ++m_runs;
    m_stalled = false;
    m_firstByteAt.reset();
    m_connection = connection;
    const BackendQuery sentQuery = query();
    const auto weightsEnd = m_state.tracker.weightsEnd(choice.backend.id, m_request.model);
    m_weightsTimeLeft = weightsEnd ? std::optional(*weightsEnd - now) : std::nullopt;
    m_state.tracker.sent(choice, sentQuery, now);
    if (m_state.tracker.limitOf(choice.backend.id)) {
        m_state.metrics.count("requests_to_limited_engines_total");
        m_state.notifyPeers(); // all nodes share this limit
    }
    if (choice.saveTo) {
        const std::string salt = cacheSalt(sentQuery.model, choice.weights, sentQuery.isolated);
        m_state.keptCache.recordSaved(KeptCacheView::keyOf(salt, sentQuery.sharedPart), now);
    }
    const TryResult end = co_await sendAndReceive(choice, connection);
    m_connection.reset();
    const bool begun = m_firstByteAt.has_value();
    const bool failed = end == TryResult::Failed
                        || ((end == TryResult::Lost || end == TryResult::Interrupted)
                            && !m_callerDisconnected && !m_isWithdrawn);
    m_state.tracker.ended(choice, begun, failed, MonotonicClock::now());
    if (end == TryResult::Delivered || end == TryResult::Failed) {
        recordCompleteAnswer();
    }
    if (end == TryResult::NotExecuted) {
        --m_runs;
        m_exchange.apply(ExchangeEvent::RefusalReceived);
    } else if (end == TryResult::Lost) {
        m_exchange.apply(ExchangeEvent::ConnectionLost);
    }
    if (end == TryResult::Lost && m_stalled) {
        m_state.tracker.exclude(choice.backend.id, MonotonicClock::now());
    }
    co_await recordEngineEnd(choice, end, now);
    if (end != TryResult::Delivered) {
        connection->close();
        LogEvent("try_failed", Severity::Info)
                .field("id", m_request.id)
                .field("backend", choice.backend.id.str())
                .field("weights", choice.weights)
                .field("end", nameOf(end))
                .field("status", m_status)
                .field("sends", m_sends)
                .field("stalled", m_stalled)
                .field("timed_out", m_timedOut)
                .field("caller_left", m_callerDisconnected)
                .field("engine_ended", m_engineEnded)
                .field("digest", m_engineEnded ? digest()->str() : "none");
    }
    co_return end;
}

asio::awaitable<void> Exchange::recordEngineEnd(const BackendChoice &choice, TryResult end,
                                                TimePoint sentAt)
{
    m_engineEnded = false;
    const TimePoint now = MonotonicClock::now();
    const bool isCutByServer = (end == TryResult::Lost || end == TryResult::Interrupted)
                               && !m_callerDisconnected && !m_timedOut && !m_stalled
                               && !m_isWithdrawn;
    const EngineId &engine = choice.backend.id;
    const bool shouldCheck = isCutByServer && m_state.settings.quarantinesRequests
                             && m_state.digester.isReady() && m_state.tracker.contains(engine)
                             && !m_state.livenessProbe.hadEndedBefore(engine, sentAt);
    if (!shouldCheck) {
        co_return;
    }
    const bool hadJustBegun = !m_firstByteAt || now - *m_firstByteAt < RequestQuarantine::JustBegun;
    m_engineEnded = co_await m_state.livenessProbe.hasEnded(engine, choice.backend.endpoint);
    if (!m_engineEnded) {
        co_return;
    }
    const WorkDigest name = *digest();
    const EngineTermination engineEnd{BackendTracker::hashOf(engine), now, hadJustBegun};
    m_state.metrics.count("engine_ends_under_requests_total");
    if (m_state.quarantine.recordTermination(name, customerHash(), engineEnd)) {
        withdrawQuarantined(m_state, name);
    }
    m_state.notifyPeers();
}

void Exchange::withdrawQuarantined(TrafficState &state, const WorkDigest &quarantined)
{
    int withdrawn = 0;
    for (Exchange *const each : *state.openExchanges) {
        const bool waits = each->m_connection != nullptr && !each->m_firstByteAt;
        if (waits && state.quarantine.hasEvidence(each->customerHash())
            && each->digest() == quarantined) {
            each->m_isWithdrawn = true;
            each->abortTry();
            ++withdrawn;
        }
    }
    state.metrics.count("requests_quarantined_total");
    LogEvent("request_quarantined", Severity::Warning)
            .field("digest", quarantined.str())
            .field("engines_ended", state.quarantine.terminationsUnder(quarantined))
            .field("withdrawn", withdrawn)
            .field("held", state.quarantine.held(MonotonicClock::now()))
            .field("suspected", state.quarantine.size());
}

std::uint64_t Exchange::customerHash() const
{
    return m_customer == nullptr ? 0 : hashOfName(m_customer->id.str());
}

std::optional<TimePoint> Exchange::heldUntil(TimePoint now) const
{
    const bool mayBeQuarantined = m_state.settings.quarantinesRequests && m_state.digester.isReady()
                                  && m_state.quarantine.hasEvidence(customerHash());
    return mayBeQuarantined ? m_state.quarantine.heldUntil(*digest(), now) : std::nullopt;
}

void Exchange::recordCompleteAnswer()
{
    const bool mayBeSuspected =
            m_state.digester.isReady() && m_state.quarantine.hasEvidence(customerHash());
    if (!mayBeSuspected || !m_state.quarantine.recordAnswer(*digest(), MonotonicClock::now())) {
        return;
    }
    LogEvent("request_cleared").field("id", m_request.id).field("digest", digest()->str());
    m_state.notifyPeers();
}

std::optional<WorkDigest> Exchange::digest() const
{
    if (!m_state.digester.isReady()) {
        return std::nullopt;
    }
    const std::string_view customer =
            m_customer == nullptr ? std::string_view() : std::string_view(m_customer->id.str());
    return m_state.digester.digest(
            {customer, m_request.method, m_request.host, m_request.target, m_request.body});
}

void Exchange::startWriting(const BackendChoice &choice, const BackendConnectionPtr &connection)
{
    const TimePoint now = MonotonicClock::now();
    std::string &head = connection->head;
    head = m_request.method + " " + m_request.target + " HTTP/1.1\r\nHost: " + m_request.host
           + "\r\n" + m_request.forwardedHeaders;
    m_state.dialect.writeOptions(optionsFor(choice), now, &head);
    const bool hasBody = !m_request.body.empty();
    if (hasBody || (m_request.method != "GET" && m_request.method != "HEAD")) {
        head += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
    }
    head += "\r\n";
    m_exchange.apply(ExchangeEvent::SendStarted);
    connection->isWriting = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head),
                                                    asio::buffer(m_request.body)};
    // Writes in the background, because the answer may begin before the whole body is sent.
    asio::async_write(connection->socket, buffers,
                      [connection, self = shared_from_this()](const ErrorCode &error, std::size_t) {
                          connection->isWriting = error.failed();
                      });
}

asio::awaitable<Exchange::TryResult>
Exchange::sendAndReceive(const BackendChoice &choice, const BackendConnectionPtr &connection)
{
    startWriting(choice, connection);
    std::optional<TimePoint> firstByteDeadline;
    if (isRepeatable() && !m_headWritten) {
        firstByteDeadline = MonotonicClock::now()
                            + std::max<Duration>(m_route->targetLatency * FirstByteTimeoutTargets,
                                                 MinFirstByteTimeout);
    }
    setAnswerDeadline(firstByteDeadline);
    bool sawStray = false;
    for (int answers = 0; answers <= MaxStrayAnswers; ++answers) {
        AnswerParser parser;
        parser.body_limit(MaxAnswerBytes);
        parser.skip(m_request.method == "HEAD");
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                         redirectError(error));
        if (error) {
            co_return TryResult::Lost;
        }
        const AnswerHead head = m_state.dialect.parseAnswer(
                static_cast<int>(parser.get().result_int()), parser.get().base());
        m_status = head.status;
        if (head.status < 200) {
            continue;
        }
        if (head.requestId != m_request.id && !head.requestId.empty()) {
            // A duplicate or late answer to another request; the answer to this one may still
            // follow.
            sawStray = true;
            std::string ignored;
            const bool isWhole = co_await readCompleteBody(*connection, parser, &ignored);
            if (!isWhole || parser.get().need_eof()) {
                co_return TryResult::Lost;
            }
            continue;
        }
        recordAnswerHead(choice, head);
        if (head.isNotExecuted || head.status == 421) {
            std::string ignored;
            const bool isWhole = co_await readCompleteBody(*connection, parser, &ignored);
            if (isWhole && !sawStray) {
                releaseConnection(connection, parser, head);
            }
            co_return TryResult::NotExecuted;
        }
        if (head.isEncoded || head.requestId.empty()
            || (isSuccess(head.status) && !head.isStamped)) {
            co_return TryResult::Lost;
        }
        if (isSuccess(head.status) && m_route->kind == RequestKind::Stream) {
            const TryResult end = co_await relayEvents(choice, connection, parser, head);
            if (end == TryResult::Delivered && !sawStray) {
                releaseConnection(connection, parser, head);
            }
            co_return end;
        }
        if (m_headWritten) {
            co_return TryResult::Lost; // a started stream can only be continued by a stream
        }
        std::string body;
        const bool isWhole = co_await readCompleteBody(*connection, parser, &body);
        if (!isWhole) {
            co_return TryResult::Lost;
        }
        m_firstByteAt = MonotonicClock::now();
        m_state.tracker.began(choice, *m_firstByteAt);
        m_exchange.apply(ExchangeEvent::AnswerReceived);
        if (!sawStray) {
            releaseConnection(connection, parser, head);
        }
        if (head.status >= 500) {
            m_failure = Failure{head, std::move(body)};
            co_return TryResult::Failed;
        }
        const bool delivered = co_await deliver(head, body);
        co_return delivered ? TryResult::Delivered : TryResult::Interrupted;
    }
    co_return TryResult::Lost;
}

void Exchange::recordAnswerHead(const BackendChoice &choice, const AnswerHead &head)
{
    const TimePoint now = MonotonicClock::now();
    const EngineId &id = choice.backend.id;
    if (head.status != 421) { // 421 comes from another engine at the same address
        m_state.quarantine.recordEngineAnswer(BackendTracker::hashOf(id), now);
    }
    if (head.load) {
        m_state.tracker.reported(id, head.load->running, head.load->waiting, now);
    }
    if (head.status != 421 && m_state.tracker.limitObserved(id, head.requestsPerSecond, now)) {
        LogEvent("engine_limit")
                .field("backend", id.str())
                .field("per_second", head.requestsPerSecond.value_or(0))
                .field("named", head.requestsPerSecond.has_value())
                .field("by", "answer")
                .field("id", m_request.id);
        m_state.notifyPeers();
    }
    if (head.weights && !m_request.model.empty()) {
        m_state.tracker.weightsObserved(id, m_request.model, *head.weights);
    }
    if (head.status == 421) {
        if (choice.weights != 0) {
            m_state.tracker.weightsRefused(id, m_request.model, now);
        } else {
            m_state.tracker.exclude(id, now);
        }
    } else if (head.isNotExecuted) {
        m_state.tracker.exclude(id, now);
    }
}

int Exchange::maxSends() const
{
    return m_headWritten ? MaxStreamSends : MaxSends;
}

bool Exchange::isRepeatable() const
{
    return m_route->kind == RequestKind::Safe
           || (m_route->kind == RequestKind::Stream && m_route->isResumable);
}

bool Exchange::mayRetry(TryResult end) const
{
    if (m_budgetSpent || m_sends >= maxSends()) {
        return false;
    }
    if (end == TryResult::NotExecuted) {
        return true;
    }
    const bool isResume = end == TryResult::Interrupted;
    if (isResume && (m_events.lastId().empty() || !m_state.settings.resumesStreams)) {
        return false;
    }
    return (isResume || m_state.settings.retriesRequests) && isRepeatable()
           && m_runs < m_route->mostBackends;
}

void Exchange::setAnswerDeadline(std::optional<TimePoint> until)
{
    m_answerDeadline = until;
    scheduleTimer(MonotonicClock::now());
}

std::optional<TimePoint> Exchange::withdrawalTime() const
{
    const bool waits = m_connection != nullptr && !m_firstByteAt && m_choice;
    if (!waits || !m_state.settings.withdrawsRequests) {
        return std::nullopt;
    }
    const auto end = m_state.tracker.weightsEnd(m_choice->backend.id, m_request.model);
    return end ? std::optional(*end - WithdrawMargin) : std::nullopt;
}

void Exchange::scheduleTimer(TimePoint now)
{
    TimePoint next = m_answerDeadline ? std::min(*m_answerDeadline, m_deadline) : m_deadline;
    if (!m_request.model.empty()) {
        // New weights may be announced while the request waits.
        next = std::min(next, withdrawalTime().value_or(now + WeightsCheckInterval));
    }
    m_deadlineTimer->dueAt = next;
}

void Exchange::onDeadline()
{
    const TimePoint now = MonotonicClock::now();
    if (now >= m_deadline) {
        m_timedOut = true;
        abortTry();
        return;
    }
    ErrorCode ignored;
    if (m_connection != nullptr && m_connection->socket.available(ignored) > 0) {
        // Data has arrived and this node has not read it yet, so the server is not unresponsive.
        m_answerDeadline =
                m_answerDeadline ? std::optional(now + UnreadDataExtension) : std::nullopt;
        scheduleTimer(now);
        return;
    }
    const std::optional<TimePoint> begins = withdrawalTime();
    if (begins && now >= *begins) {
        // Withdraw the request: it would begin on expired weights, and another server has newer
        // ones.
        m_state.metrics.count("requests_withdrawn_total");
        m_stalled = true;
        abortTry();
        return;
    }
    if (m_answerDeadline && now >= *m_answerDeadline) {
        m_answerDeadline.reset();
        if (reserveRetry(now)) {
            m_stalled = true;
            abortTry();
            return;
        }
    }
    scheduleTimer(now);
}

bool Exchange::reserveRetry(TimePoint now)
{
    const bool isAllowed =
            m_headWritten ? m_state.settings.resumesStreams : m_state.settings.retriesRequests;
    if (!isAllowed || m_sends >= maxSends() || m_runs >= m_route->mostBackends) {
        return false;
    }
    BackendQuery elsewhere = query();
    if (m_choice) {
        elsewhere.exclude.push_back(m_choice->backend.id);
    }
    if (!m_state.tracker.choose(elsewhere, now)) {
        return false;
    }
    m_hasReservedRetry = m_hasReservedRetry || m_state.retryBudget.spend(m_service, now);
    return m_hasReservedRetry;
}

void Exchange::abortTry()
{
    m_wait.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

void Exchange::callerDisconnected()
{
    m_callerDisconnected = true;
    abortTry();
}

} // namespace vanilladyke
