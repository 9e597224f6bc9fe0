#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t LongestAnswer = 256ULL << 20U;
/// A server that answered somebody else's request has at most so many stray answers queued.
constexpr int MostStrayAnswers = 3;
/// Servers that refuse before running cost little, but each is an arrival there.
constexpr int MostSends = 4;
constexpr int MostConnectFailures = 6;
/// A prompt this long goes behind short ones of the same rank: it takes many of their times.
constexpr std::uint64_t LongPromptTokens = 2048;
/// A repeatable request waits so many targets for its first byte, then tries another server.
constexpr int TargetsToWait = 3;
constexpr Duration LeastPatience = std::chrono::milliseconds(450);
/// A stream that broke off is worth more tries than a request that nobody has begun to answer.
constexpr int MostResumes = 12;
constexpr Duration ResumeTime = std::chrono::milliseconds(900);
/// Bytes that have come and were not read yet are read within a few rounds of the event loop.
constexpr Duration UnreadPatience = std::chrono::milliseconds(100);
/// What a request needs to leave an engine's queue, and how late news of weights may be.
constexpr Duration WithdrawMargin = std::chrono::milliseconds(800);
/// How often a request that waits is checked for weights that were named meanwhile.
constexpr Duration WeightsCheck = std::chrono::seconds(1);

/// The first part with which half of the shared tokens are reached.
std::string homePart(const std::vector<PromptPart> &parts, std::uint64_t shared)
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
    , m_timed(std::make_shared<Timed>())
    , m_wait(state.context)
{
    m_openExchanges->insert(this);
}

Exchange::~Exchange()
{
    m_openExchanges->erase(this);
}

std::string_view Exchange::nameOf(TryEnd end)
{
    switch (end) {
    case TryEnd::Delivered:
        return "delivered";
    case TryEnd::NotExecuted:
        return "not_executed";
    case TryEnd::Unreached:
        return "unreached";
    case TryEnd::Failed:
        return "failed";
    case TryEnd::Lost:
        return "lost";
    case TryEnd::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

asio::awaitable<ExchangeEnd> Exchange::run()
{
    if (const std::optional<Refusal> refusal = admit()) {
        std::optional<Duration> after;
        if (refusal->retryAt) {
            after = *refusal->retryAt - MonotonicClock::now();
        }
        co_return co_await refuse(httpStatus(refusal->reason), toString(refusal->reason), after);
    }
    m_state.budget.countRequest(m_service, m_request.arrived);
    m_state.ticker.add(m_timed);
    m_timed->onDue = [this] { due(); };
    setPatience(std::nullopt);
    int connectFailures = 0;
    for (;;) {
        const TimePoint now = MonotonicClock::now();
        if (m_callerLeft || m_timedOut || m_deadline - now < LeastTimeForTry) {
            break;
        }
        if (heldUntil(now)) {
            break;
        }
        const auto choice = m_state.book.choose(query(), now);
        if (!choice) {
            m_none = choice.error();
            const bool mayOpen = co_await waitForBackend(choice.error());
            if (!mayOpen) {
                break;
            }
            continue;
        }
        m_choice = *choice;
        if (const auto until = comesTooLate(*choice, now)) {
            m_none = {true, *until};
            m_isTooLate = true;
            break;
        }
        const TryEnd end = co_await tryBackend(*choice);
        if (end == TryEnd::Delivered) {
            log(m_status, "answered");
            co_return ExchangeEnd::Answered;
        }
        m_tried.push_back(choice->backend.id);
        if (end == TryEnd::Unreached) {
            if (++connectFailures >= MostConnectFailures) {
                break;
            }
            continue;
        }
        if (m_callerLeft || m_timedOut || !maySendAgain(end)) {
            break;
        }
        if (end == TryEnd::Interrupted) {
            m_resumeAfter = m_events.lastId();
            m_waitUntil = MonotonicClock::now() + ResumeTime;
        }
    }
    co_return co_await giveUp();
}

std::optional<Refusal> Exchange::admit()
{
    const TimePoint now = m_request.arrived;
    if (m_state.isLeaving) {
        return Refusal{RefusalReason::ShuttingDown, "node is stopping", Ran::No, now};
    }
    // The next proof of the configuration's age is due within about a second.
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
    // Waiting longer than half the target helps nobody: the caller can try another node.
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
    result.minPreferredTokens = m_state.book.minPreferredTokens(m_service);
    result.target = m_route->targetLatency;
    result.urgency = urgency();
    result.exclude = m_tried;
    const bool hasStore = m_state.settings.rates.usesKeptStore && m_state.kept.stores() > 0;
    result.kept = hasStore ? &m_state.kept : nullptr;
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
            result.preferencePart = homePart(m_request.parts, shared);
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

std::optional<TimePoint> Exchange::comesTooLate(const BackendChoice &choice, TimePoint now) const
{
    if (m_request.model.empty() || m_headWritten || m_sends > 0) {
        return std::nullopt;
    }
    const double most = m_state.settings.rates.maxWaitFraction;
    return refusedUntil({m_route->targetLatency, m_deadline, most}, choice.wait, now);
}

SendTerms Exchange::termsFor(const BackendChoice &choice) const
{
    SendTerms terms;
    terms.deadline = m_deadline;
    terms.expected = choice.backend.id;
    terms.weights = choice.weights;
    if (m_customer != nullptr) {
        terms.customer = m_customer->id;
    }
    terms.urgency = urgency();
    terms.resumeAfter = m_resumeAfter;
    if (m_request.parts.empty()) {
        return terms;
    }
    if (choice.weights == 0) {
        // Cached work must name its weights; without them the request shares with none.
        terms.cacheSalt = "alone-" + m_request.id;
        return terms;
    }
    const bool isIsolated = m_customer != nullptr && m_customer->isIsolated;
    terms.cacheSalt =
            cacheSalt(m_request.model, choice.weights, isIsolated ? m_customer->id : CustomerId());
    terms.fetchFrom = choice.fetchFrom;
    // What the store has is not saved again: the request's own part would push shared ones out.
    terms.saveTo = choice.saveTo;
    return terms;
}

asio::awaitable<bool> Exchange::waitForBackend(const NoBackend &none)
{
    const TimePoint now = MonotonicClock::now();
    const TimePoint latest = std::min(m_waitUntil, m_deadline - LeastTimeForTry);
    const bool triedAll = !m_tried.empty() && m_none.retryAt > latest;
    if (triedAll || none.retryAt > latest || now >= latest) {
        if (none.isKnown && !m_tried.empty() && now < latest) {
            m_tried.clear(); // a server that refused a moment ago may have room again
            constexpr Duration Pause = std::chrono::milliseconds(20);
            m_wait.expires_after(Pause);
            ErrorCode ignored;
            co_await m_wait.async_wait(into(ignored));
            co_return m_sends < mostSends();
        }
        co_return false;
    }
    m_wait.expires_after(std::max<Duration>(none.retryAt - now, std::chrono::milliseconds(5)));
    ErrorCode ignored;
    co_await m_wait.async_wait(into(ignored));
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

asio::awaitable<Exchange::TryEnd> Exchange::tryBackend(const BackendChoice &choice)
{
    const BackendConnectionPtr connection = co_await connectionTo(choice);
    if (connection == nullptr) {
        m_state.book.exclude(choice.backend.id, MonotonicClock::now());
        m_state.metrics.count("backend_unreached_total");
        co_return TryEnd::Unreached;
    }
    if (m_callerLeft || m_timedOut) {
        m_state.pool.giveBack(connection, std::nullopt, MonotonicClock::now());
        co_return TryEnd::Unreached;
    }
    const TimePoint now = MonotonicClock::now();
    if (!m_state.book.hasCapacity(choice.backend.id, now)) {
        m_state.pool.giveBack(connection, std::nullopt, now);
        m_state.metrics.count("limit_taken_meanwhile_total");
        co_return TryEnd::Unreached;
    }
    if (m_sends > 0 && !m_hasSecondSend && !m_state.budget.spend(m_service, now)) {
        m_state.pool.giveBack(connection, std::nullopt, now);
        m_budgetSpent = true;
        co_return TryEnd::Lost;
    }
    m_hasSecondSend = false;
    ++m_sends;
    ++m_runs;
    m_stalled = false;
    m_firstByteAt.reset();
    m_connection = connection;
    const BackendQuery asked = query();
    const auto weightsEnd = m_state.book.weightsEnd(choice.backend.id, m_request.model);
    m_weightsLeft = weightsEnd ? std::optional(*weightsEnd - now) : std::nullopt;
    m_state.book.sent(choice, asked, now);
    if (m_state.book.limitOf(choice.backend.id)) {
        m_state.metrics.count("requests_to_limited_engines_total");
        m_state.tellPeers(); // others draw on the same limit
    }
    if (choice.saveTo) {
        const std::string salt = cacheSalt(asked.model, choice.weights, asked.isolated);
        m_state.kept.recordSaved(KeptCacheView::keyOf(salt, asked.sharedPart), now);
    }
    const TryEnd end = co_await converse(choice, connection);
    m_connection.reset();
    const bool begun = m_firstByteAt.has_value();
    const bool failed = end == TryEnd::Failed
                        || ((end == TryEnd::Lost || end == TryEnd::Interrupted) && !m_callerLeft
                            && !m_isWithdrawn);
    m_state.book.ended(choice, begun, failed, MonotonicClock::now());
    if (end == TryEnd::Delivered || end == TryEnd::Failed) {
        noteWholeAnswer();
    }
    if (end == TryEnd::NotExecuted) {
        --m_runs;
        m_exchange.apply(ExchangeEvent::RefusalReceived);
    } else if (end == TryEnd::Lost) {
        m_exchange.apply(ExchangeEvent::ConnectionLost);
    }
    if (end == TryEnd::Lost && m_stalled) {
        m_state.book.exclude(choice.backend.id, MonotonicClock::now());
    }
    co_await noteEnd(choice, end, now);
    if (end != TryEnd::Delivered) {
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
                .field("caller_left", m_callerLeft)
                .field("engine_ended", m_engineEnded)
                .field("digest", m_engineEnded ? digest()->str() : "none");
    }
    co_return end;
}

asio::awaitable<void> Exchange::noteEnd(const BackendChoice &choice, TryEnd end, TimePoint sentAt)
{
    m_engineEnded = false;
    const TimePoint now = MonotonicClock::now();
    const bool isCutByServer = (end == TryEnd::Lost || end == TryEnd::Interrupted) && !m_callerLeft
                               && !m_timedOut && !m_stalled && !m_isWithdrawn;
    const EngineId &engine = choice.backend.id;
    const bool mayTell = isCutByServer && m_state.settings.quarantines && m_state.digester.isReady()
                         && m_state.book.contains(engine)
                         && !m_state.ends.wasKnownEnded(engine, sentAt);
    if (!mayTell) {
        co_return;
    }
    const bool hadJustBegun = !m_firstByteAt || now - *m_firstByteAt < RequestQuarantine::JustBegun;
    m_engineEnded = co_await m_state.ends.hasEnded(engine, choice.backend.endpoint);
    if (!m_engineEnded) {
        co_return;
    }
    const WorkDigest name = *digest();
    const EngineEnd engineEnd{BackendTracker::hashOf(engine), now, hadJustBegun};
    m_state.metrics.count("engine_ends_under_requests_total");
    if (m_state.quarantine.ended(name, customerHash(), engineEnd)) {
        withdrawHeld(m_state, name);
    }
    m_state.tellPeers();
}

void Exchange::withdrawHeld(TrafficState &state, const WorkDigest &held)
{
    int withdrawn = 0;
    for (Exchange *const each : *state.openExchanges) {
        const bool waits = each->m_connection != nullptr && !each->m_firstByteAt;
        if (waits && state.quarantine.concerns(each->customerHash()) && each->digest() == held) {
            each->m_isWithdrawn = true;
            each->abortTry();
            ++withdrawn;
        }
    }
    state.metrics.count("requests_quarantined_total");
    LogEvent("request_quarantined", Severity::Warning)
            .field("digest", held.str())
            .field("engines_ended", state.quarantine.endsUnder(held))
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
    const bool mayBeHeld = m_state.settings.quarantines && m_state.digester.isReady()
                           && m_state.quarantine.concerns(customerHash());
    return mayBeHeld ? m_state.quarantine.heldUntil(*digest(), now) : std::nullopt;
}

void Exchange::noteWholeAnswer()
{
    const bool mayBeSuspected =
            m_state.digester.isReady() && m_state.quarantine.concerns(customerHash());
    if (!mayBeSuspected || !m_state.quarantine.answered(*digest(), MonotonicClock::now())) {
        return;
    }
    LogEvent("request_cleared").field("id", m_request.id).field("digest", digest()->str());
    m_state.tellPeers();
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
           + "\r\n" + m_request.passedOn;
    m_state.dialect.writeTerms(termsFor(choice), now, &head);
    const bool hasBody = !m_request.body.empty();
    if (hasBody || (m_request.method != "GET" && m_request.method != "HEAD")) {
        head += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
    }
    head += "\r\n";
    m_exchange.apply(ExchangeEvent::SendStarted);
    connection->isWriting = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head),
                                                    asio::buffer(m_request.body)};
    // The answer may come before the body is out; both go on side by side.
    asio::async_write(connection->socket, buffers,
                      [connection, self = shared_from_this()](const ErrorCode &error, std::size_t) {
                          connection->isWriting = error.failed();
                      });
}

asio::awaitable<Exchange::TryEnd> Exchange::converse(const BackendChoice &choice,
                                                     const BackendConnectionPtr &connection)
{
    startWriting(choice, connection);
    std::optional<TimePoint> patience;
    if (mayRepeat() && !m_headWritten) {
        patience = MonotonicClock::now()
                   + std::max<Duration>(m_route->targetLatency * TargetsToWait, LeastPatience);
    }
    setPatience(patience);
    bool sawStray = false;
    for (int answers = 0; answers <= MostStrayAnswers; ++answers) {
        AnswerParser parser;
        parser.body_limit(LongestAnswer);
        parser.skip(m_request.method == "HEAD");
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                         into(error));
        if (error) {
            co_return TryEnd::Lost;
        }
        const AnswerHead head = m_state.dialect.readAnswer(
                static_cast<int>(parser.get().result_int()), parser.get().base());
        m_status = head.status;
        if (head.status < 200) {
            continue;
        }
        if (head.requestId != m_request.id && !head.requestId.empty()) {
            // A second or late answer to another request; ours may still follow.
            sawStray = true;
            std::string ignored;
            const bool isWhole = co_await readWhole(*connection, parser, &ignored);
            if (!isWhole || parser.get().need_eof()) {
                co_return TryEnd::Lost;
            }
            continue;
        }
        noteAnswer(choice, head);
        if (head.isNotExecuted || head.status == 421) {
            std::string ignored;
            const bool isWhole = co_await readWhole(*connection, parser, &ignored);
            if (isWhole && !sawStray) {
                release(connection, parser, head);
            }
            co_return TryEnd::NotExecuted;
        }
        if (head.isEncoded || head.requestId.empty()
            || (isSuccess(head.status) && !head.isStamped)) {
            co_return TryEnd::Lost;
        }
        if (isSuccess(head.status) && m_route->kind == RequestKind::Stream) {
            const TryEnd end = co_await relayEvents(choice, connection, parser, head);
            if (end == TryEnd::Delivered && !sawStray) {
                release(connection, parser, head);
            }
            co_return end;
        }
        if (m_headWritten) {
            co_return TryEnd::Lost; // a stream can't go on with an answer of another kind
        }
        std::string body;
        const bool isWhole = co_await readWhole(*connection, parser, &body);
        if (!isWhole) {
            co_return TryEnd::Lost;
        }
        m_firstByteAt = MonotonicClock::now();
        m_state.book.began(choice, *m_firstByteAt);
        m_exchange.apply(ExchangeEvent::AnswerReceived);
        if (!sawStray) {
            release(connection, parser, head);
        }
        if (head.status >= 500) {
            m_failure = Failure{head, std::move(body)};
            co_return TryEnd::Failed;
        }
        const bool delivered = co_await deliver(head, body);
        co_return delivered ? TryEnd::Delivered : TryEnd::Interrupted;
    }
    co_return TryEnd::Lost;
}

void Exchange::noteAnswer(const BackendChoice &choice, const AnswerHead &head)
{
    const TimePoint now = MonotonicClock::now();
    const EngineId &id = choice.backend.id;
    if (head.status != 421) { // another engine at the same address says that
        m_state.quarantine.engineLives(BackendTracker::hashOf(id), now);
    }
    if (head.load) {
        m_state.book.reported(id, head.load->running, head.load->waiting, now);
    }
    if (head.status != 421 && m_state.book.limitObserved(id, head.requestsPerSecond, now)) {
        LogEvent("engine_limit")
                .field("backend", id.str())
                .field("per_second", head.requestsPerSecond.value_or(0))
                .field("named", head.requestsPerSecond.has_value())
                .field("by", "answer")
                .field("id", m_request.id);
        m_state.tellPeers();
    }
    if (head.weights && !m_request.model.empty()) {
        m_state.book.weightsObserved(id, m_request.model, *head.weights);
    }
    if (head.status == 421) {
        if (choice.weights != 0) {
            m_state.book.weightsRefused(id, m_request.model, now);
        } else {
            m_state.book.exclude(id, now);
        }
    } else if (head.isNotExecuted) {
        m_state.book.exclude(id, now);
    }
}

int Exchange::mostSends() const
{
    return m_headWritten ? MostResumes : MostSends;
}

bool Exchange::mayRepeat() const
{
    return m_route->kind == RequestKind::Safe
           || (m_route->kind == RequestKind::Stream && m_route->isResumable);
}

bool Exchange::maySendAgain(TryEnd end) const
{
    if (m_budgetSpent || m_sends >= mostSends()) {
        return false;
    }
    if (end == TryEnd::NotExecuted) {
        return true;
    }
    const bool isResume = end == TryEnd::Interrupted;
    if (isResume && (m_events.lastId().empty() || !m_state.settings.resumes)) {
        return false;
    }
    return (isResume || m_state.settings.sendsAgain) && mayRepeat()
           && m_runs < m_route->mostBackends;
}

void Exchange::setPatience(std::optional<TimePoint> until)
{
    m_patienceEnd = until;
    scheduleDue(MonotonicClock::now());
}

std::optional<TimePoint> Exchange::beginBy() const
{
    const bool waits = m_connection != nullptr && !m_firstByteAt && m_choice;
    if (!waits || !m_state.settings.withdraws) {
        return std::nullopt;
    }
    const auto end = m_state.book.weightsEnd(m_choice->backend.id, m_request.model);
    return end ? std::optional(*end - WithdrawMargin) : std::nullopt;
}

void Exchange::scheduleDue(TimePoint now)
{
    TimePoint next = m_patienceEnd ? std::min(*m_patienceEnd, m_deadline) : m_deadline;
    if (!m_request.model.empty()) {
        // New weights may be named while the request waits.
        next = std::min(next, beginBy().value_or(now + WeightsCheck));
    }
    m_timed->dueAt = next;
}

void Exchange::due()
{
    const TimePoint now = MonotonicClock::now();
    if (now >= m_deadline) {
        m_timedOut = true;
        abortTry();
        return;
    }
    ErrorCode ignored;
    if (m_connection != nullptr && m_connection->socket.available(ignored) > 0) {
        // The answer is here and only this node is behind.
        m_patienceEnd = m_patienceEnd ? std::optional(now + UnreadPatience) : std::nullopt;
        scheduleDue(now);
        return;
    }
    const std::optional<TimePoint> begins = beginBy();
    if (begins && now >= *begins) {
        // It would begin on weights whose time is over; another server has newer ones.
        m_state.metrics.count("requests_withdrawn_total");
        m_stalled = true;
        abortTry();
        return;
    }
    if (m_patienceEnd && now >= *m_patienceEnd) {
        m_patienceEnd.reset();
        if (reserveSecondSend(now)) {
            m_stalled = true;
            abortTry();
            return;
        }
    }
    scheduleDue(now);
}

bool Exchange::reserveSecondSend(TimePoint now)
{
    const bool isAllowed = m_headWritten ? m_state.settings.resumes : m_state.settings.sendsAgain;
    if (!isAllowed || m_sends >= mostSends() || m_runs >= m_route->mostBackends) {
        return false;
    }
    BackendQuery elsewhere = query();
    if (m_choice) {
        elsewhere.exclude.push_back(m_choice->backend.id);
    }
    if (!m_state.book.choose(elsewhere, now)) {
        return false;
    }
    m_hasSecondSend = m_hasSecondSend || m_state.budget.spend(m_service, now);
    return m_hasSecondSend;
}

void Exchange::abortTry()
{
    m_wait.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

void Exchange::callerLeft()
{
    m_callerLeft = true;
    abortTry();
}

} // namespace vanilladyke
