#include "vanilladyke/traffic/backend_try.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/traffic/answer_reader.hpp"
#include "vanilladyke/traffic/event_splitter.hpp"
#include "vanilladyke/traffic/peer_close.hpp"
#include "vanilladyke/traffic/reset_on_close.hpp"

#include <boost/beast/http/read.hpp>

#include <array>

namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

/// Upper bound of an answer's body, in bytes.
constexpr std::uint64_t MaxAnswerBytes = 256ULL << 20U;
constexpr std::size_t MaxBufferedAnswerBytes = 8U << 20U;
/// Of an answer to another request, which are read to get to the next one.
constexpr std::size_t MaxDiscardedBytes = 256U << 10U;
constexpr std::size_t ReadBufferBytes = 16384;
/// Number of answers to other requests that are skipped on a connection before it is given up.
constexpr int MaxStrayAnswers = 3;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string_view toString(TryResult result)
{
    switch (result) {
    case TryResult::Delivered:
        return "delivered";
    case TryResult::NotExecuted:
        return "not_executed";
    case TryResult::Unreached:
        return "unreached";
    case TryResult::Failed:
        return "failed";
    case TryResult::Kept:
        return "kept";
    case TryResult::Lost:
        return "lost";
    case TryResult::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

std::string_view toString(AbortReason reason)
{
    switch (reason) {
    case AbortReason::None:
        return "none";
    case AbortReason::CallerLeft:
        return "caller_left";
    case AbortReason::CallerDeadline:
        return "caller_deadline";
    case AbortReason::RouteTimeout:
        return "route_timeout";
    case AbortReason::NodeStops:
        return "node_stops";
    case AbortReason::WeightsExpire:
        return "weights_expire";
    case AbortReason::Quarantined:
        return "quarantined";
    case AbortReason::Replaced:
        return "replaced";
    case AbortReason::Unneeded:
        return "unneeded";
    }
    return "unknown";
}

bool isOwnChoice(AbortReason reason)
{
    switch (reason) {
    case AbortReason::WeightsExpire:
    case AbortReason::Quarantined:
    case AbortReason::Replaced:
    case AbortReason::Unneeded:
        return true;
    case AbortReason::None:
    case AbortReason::CallerLeft:
    case AbortReason::CallerDeadline:
    case AbortReason::RouteTimeout:
    case AbortReason::NodeStops:
        break;
    }
    return false;
}

bool isLeftAsSilent(AbortReason reason)
{
    return reason == AbortReason::Replaced || reason == AbortReason::WeightsExpire;
}

BackendTry::BackendTry(TrafficState &state, std::shared_ptr<const CallerRequest> request,
                       TryTerms terms, BackendChoice choice)
    : m_state(state)
    , m_request(std::move(request))
    , m_terms(terms)
    , m_choice(std::move(choice))
    , m_share(state.buffers)
{}

KeptBody BackendTry::takeBody()
{
    return {std::exchange(m_body, {}), std::exchange(m_share, AnswerShare(m_state.buffers))};
}

bool BackendTry::fitsIntoMemory()
{
    m_share.resize(m_body.capacity());
    const bool fits = m_body.size() <= MaxBufferedAnswerBytes && m_share.fits(m_body.size());
    if (!fits) {
        LogEvent("answer_too_large", Severity::Warning)
                .field("id", m_request->id)
                .field("backend", m_choice.backend.id.str())
                .field("bytes", m_body.size())
                .field("bytes_of_all", m_state.buffers->budget().held());
    }
    return fits;
}

asio::awaitable<bool> BackendTry::connect()
{
    const BackendEntry &backend = m_choice.backend;
    m_connection = m_state.pool.take(backend.id, MonotonicClock::now());
    if (m_connection == nullptr) {
        m_connection = co_await m_state.pool.connect(backend.id, backend.endpoint);
    }
    co_return m_connection != nullptr;
}

void BackendTry::releaseUnused()
{
    m_state.pool.putBack(m_connection, std::nullopt, MonotonicClock::now());
    m_connection.reset();
}

void BackendTry::send(const BackendRequestOptions &options)
{
    beginHead();
    m_state.dialect.writeOptions(options, *m_sentAt, &m_connection->head);
    write();
}

void BackendTry::sendToRelay(const RelayOptions &options)
{
    beginHead();
    m_state.dialect.writeRelay(options, *m_sentAt, &m_connection->head);
    write();
}

void BackendTry::beginHead()
{
    m_sentAt = MonotonicClock::now();
    m_connection->head = m_request->method + " " + m_request->target + " HTTP/1.1\r\nHost: "
                         + m_request->host + "\r\n" + m_request->forwardedHeaders;
}

void BackendTry::write()
{
    std::string &head = m_connection->head;
    const bool hasBody = !m_request->body.empty();
    if (hasBody || (m_request->method != "GET" && m_request->method != "HEAD")) {
        head += "Content-Length: " + std::to_string(m_request->body.size()) + "\r\n";
    }
    head += "\r\n";
    m_progress.apply(ExchangeEvent::SendStarted);
    m_connection->isWriting = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head),
                                                    asio::buffer(m_request->body)};
    // Writes in the background, because the answer may begin before the whole body is sent.
    asio::async_write(m_connection->socket, buffers,
                      [connection = m_connection, self = shared_from_this()](const ErrorCode &error,
                                                                             std::size_t) {
                          connection->isWriting = false;
                          connection->hasWriteFailed = error.failed();
                      });
}

asio::awaitable<std::optional<TryResult>> BackendTry::receiveStart()
{
    for (int answers = 0; answers <= MaxStrayAnswers; ++answers) {
        m_parser.emplace();
        m_parser->body_limit(MaxAnswerBytes);
        m_parser->skip(m_request->method == "HEAD");
        ErrorCode error;
        // A connection that is closed meanwhile is kept until the read has ended.
        const BackendConnectionPtr connection = m_connection;
        co_await readAnswerHead(connection->socket, connection->buffer, *m_parser, error);
        if (error) {
            logHeadError(error);
            co_return TryResult::Lost;
        }
        const int status = static_cast<int>(m_parser->get().result_int());
        if (const auto fault = faultOf(status, m_parser->get().version(), m_parser->get().base())) {
            logMalformed(status, *fault);
            co_return TryResult::Lost;
        }
        m_head = m_state.dialect.parseAnswer(status, m_parser->get().base());
        if (isInformational(status)) {
            continue;
        }
        if (m_head.requestId != m_request->id && !m_head.requestId.empty()) {
            // A duplicate or late answer to another request; the answer to this one may still
            // follow.
            m_sawStray = true;
            const bool isWhole = co_await discardBody();
            if (!isWhole || endsWithConnection()) {
                co_return TryResult::Lost;
            }
            continue;
        }
        m_hasHead = true;
        recordHead();
        co_return co_await receiveBodyStart();
    }
    co_return TryResult::Lost;
}

void BackendTry::logHeadError(const ErrorCode &error) const
{
    const bool isSyntax =
            error.category() == http::make_error_code(http::error::bad_field).category();
    if (!isSyntax) {
        return; // the connection ended, which the end of the try tells
    }
    m_state.metrics.count("answers_malformed_total");
    LogEvent("answer_malformed", Severity::Warning)
            .field("id", m_request->id)
            .field("backend", m_choice.backend.id.str())
            .field("fault", error.message())
            .field("relayed", isRelay());
}

void BackendTry::logMalformed(int status, HeadFault fault) const
{
    m_state.metrics.count("answers_malformed_total");
    LogEvent("answer_malformed", Severity::Warning)
            .field("id", m_request->id)
            .field("backend", m_choice.backend.id.str())
            .field("status", status)
            .field("fault", toString(fault))
            .field("relayed", isRelay());
}

asio::awaitable<std::optional<TryResult>> BackendTry::receiveBodyStart()
{
    if (m_head.isNotExecuted || m_head.status == 421) {
        // The head says it all. Waiting for a body that comes slowly, or never ends, would hold a
        // request that may be sent elsewhere.
        co_return TryResult::NotExecuted;
    }
    if (m_head.isEncoded || m_head.requestId.empty()
        || (isSuccess(m_head.status) && !m_head.isStamped)) {
        co_return TryResult::Lost;
    }
    if (isSuccess(m_head.status) && m_terms.isStream) {
        const bool hasEvent = co_await readFirstEvent();
        if (!hasEvent) {
            co_return TryResult::Lost;
        }
        recordStart();
        co_return std::nullopt;
    }
    if (m_terms.isResume) {
        co_return TryResult::Lost; // a started stream can only be continued by a stream
    }
    const bool isComplete = co_await readCompleteBody();
    if (!isComplete) {
        co_return TryResult::Lost;
    }
    recordStart();
    co_return std::nullopt;
}

void BackendTry::recordStart()
{
    m_beganAt = MonotonicClock::now();
    m_state.tracker.began(m_choice, *m_beganAt);
    m_progress.apply(ExchangeEvent::AnswerReceived);
}

void BackendTry::recordHead()
{
    if (isRelay()) {
        return; // the other node has recorded what the server reports
    }
    const TimePoint now = MonotonicClock::now();
    const EngineId &id = m_choice.backend.id;
    const RoomKnowledge room = m_state.tracker.roomKnowledge(id, now);
    m_wasLoading = room.isLoading;
    m_state.reach.recordAnswer(id, now);
    if (m_head.status != 421) { // 421 comes from another engine at the same address
        m_state.quarantine.recordEngineAnswer(BackendTracker::hashOf(id), now);
    }
    // Another server has the address: the one that was expected has ended and comes back under
    // another id. The store's listing says so seconds later. Taken for a server with other weights,
    // it would be sent further requests until then.
    const bool isReplaced =
            m_head.status == 421 && !m_head.instance.str().empty() && m_head.instance != id;
    const bool isLeaving = m_head.status != 421 && m_head.isLeaving;
    if ((isLeaving || isReplaced) && m_state.tracker.leavingObserved(id, now)) {
        m_state.metrics.count(isReplaced ? "engines_replaced_total" : "engines_leaving_total");
        LogEvent(isReplaced ? "engine_replaced" : "engine_leaving")
                .field("backend", id.str())
                .field("by", "answer")
                .field("instance", m_head.instance.str())
                .field("id", m_request->id);
        m_state.notifyPeers();
    }
    if (isReplaced) {
        return; // nothing else in the answer is about the expected server
    }
    if (m_head.rest) {
        const TimePoint until = m_state.tracker.restAsked(id, *m_head.rest, now);
        m_state.metrics.count("engine_rests_total");
        LogEvent("engine_rests")
                .field("backend", id.str())
                .field("asked_ms", *m_head.rest)
                .field("for_ms", until - now)
                .field("id", m_request->id);
    }
    const std::optional<double> brittle = m_head.brittleRejections;
    if (m_head.status != 421 && m_state.tracker.brittleObserved(id, brittle, now)) {
        LogEvent("engine_brittle")
                .field("backend", id.str())
                .field("rejections", brittle.value_or(0))
                .field("brittle", brittle.has_value())
                .field("by", "answer")
                .field("id", m_request->id);
        m_state.notifyPeers();
    }
    if (m_head.load) {
        m_state.tracker.reported(id, m_head.load->running, m_head.load->waiting, now);
    }
    if (m_head.status != 421 && m_state.tracker.limitObserved(id, m_head.requestsPerSecond, now)) {
        LogEvent("engine_limit")
                .field("backend", id.str())
                .field("per_second", m_head.requestsPerSecond.value_or(0))
                .field("named", m_head.requestsPerSecond.has_value())
                .field("by", "answer")
                .field("id", m_request->id);
        m_state.notifyPeers();
    }
    if (m_head.weights && !m_request->model.empty()) {
        m_state.tracker.weightsObserved(id, m_request->model, *m_head.weights);
    }
    if (m_head.status == 421) {
        if (m_choice.weights != 0) {
            m_state.tracker.weightsRefused(id, m_request->model, now);
        } else {
            m_state.tracker.exclude(id, now);
        }
    } else if (m_head.isNotExecuted) {
        if (!m_place) { // else the node that grants its places holds all requests back
            m_state.tracker.exclude(id, now);
        }
        m_state.metrics.count("engine_rejections_total");
        logRejection(room);
    }
}

bool BackendTry::isRejectedForRoom() const
{
    // An engine that rests or loads weights turns requests away for another reason.
    return m_hasHead && m_head.isNotExecuted && m_head.status != 421 && !m_head.rest
           && !m_wasLoading;
}

void BackendTry::returnPlace(TryResult end)
{
    if (!m_place) {
        return;
    }
    PlaceEnd use = PlaceEnd::Unused;
    if (isRejectedForRoom()) {
        use = PlaceEnd::Rejected;
    } else if (m_sentAt) {
        const bool isOver = end == TryResult::Delivered || end == TryResult::Failed
                            || end == TryResult::Kept || end == TryResult::NotExecuted;
        use = isOver ? PlaceEnd::Served : PlaceEnd::Aborted;
    }
    const PlaceTicket place = *m_place;
    m_place.reset();
    m_state.returnPlace(place, use, m_hasHead ? m_head.load : std::nullopt);
}

void BackendTry::logRejection(const RoomKnowledge &room) const
{
    if (!m_state.tracker.hasBrittle()) {
        return;
    }
    const TimePoint now = MonotonicClock::now();
    LogEvent("engine_rejected")
            .field("id", m_request->id)
            .field("backend", m_choice.backend.id.str())
            .field("known_brittle", room.isBrittle)
            .field("has_answered", room.hasAnswered)
            .field("slots", room.slots)
            .field("own", room.inFlight)
            .field("peers", room.peersInFlight)
            .field("peers_age_ms", room.peersAge)
            .field("running", m_head.load ? m_head.load->running : -1)
            .field("waiting", m_head.load ? m_head.load->waiting : -1)
            .field("prompt", m_request->promptTokens)
            .field("after_ms", now - m_sentAt.value_or(now));
}

asio::awaitable<bool> BackendTry::readSome(std::string *out)
{
    if (m_isCut) {
        co_return false;
    }
    std::array<char, ReadBufferBytes> piece; // NOLINT: filled by the parser
    auto &body = m_parser->get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    ErrorCode error;
    co_await http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser,
                                   redirectError(error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    out->append(piece.data(), piece.size() - body.size);
    m_buffered = m_connection->buffer.size();
    if (!error && m_parser->is_done() && endsWithConnection()) {
        // The kernel reports a reset once. Where the write of the request took the report, a read
        // ends as if the server had closed in order, and a part of an answer would pass for it.
        const BackendConnectionPtr connection = m_connection;
        m_isCut = !co_await endedInOrder(connection->socket, connection->isWriting,
                                         connection->hasWriteFailed);
    }
    co_return !error && !m_isCut;
}

asio::awaitable<bool> BackendTry::readCompleteBody()
{
    while (!m_parser->is_done()) {
        const bool hasRead = co_await readSome(&m_body);
        if (!hasRead || !fitsIntoMemory()) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> BackendTry::discardBody()
{
    std::size_t discarded = 0;
    std::string piece;
    while (!m_parser->is_done()) {
        piece.clear();
        const bool hasRead = co_await readSome(&piece);
        discarded += piece.size();
        if (!hasRead || discarded > MaxDiscardedBytes) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> BackendTry::readFirstEvent()
{
    // Bytes that are no event yet prove little: the server may break off before its end.
    bool hasEvent = false;
    while (!hasEvent && !isWhole()) {
        const std::size_t searched = m_body.size();
        const bool hasRead = co_await readSome(&m_body);
        hasEvent = EventSplitter::hasEvent(m_body, searched);
        const bool mayGoOn =
                hasRead && m_body.size() <= EventSplitter::MaxEventBytes && fitsIntoMemory();
        if (!mayGoOn && !hasEvent) {
            co_return false;
        }
    }
    // A server that ends after its head closes the connection in order, too.
    co_return hasEvent || !endsWithConnection();
}

void BackendTry::release()
{
    const bool isWritten = !m_connection->isWriting && !m_connection->hasWriteFailed;
    const bool isClean = !m_sawStray && isWritten && m_connection->buffer.size() == 0
                         && m_parser->get().keep_alive() && !m_head.closesConnection
                         && !m_parser->get().need_eof()
                         && !isBodyForbidden(m_head.status, m_parser->get().base());
    if (isClean && m_connection->isOpen) {
        m_state.pool.putBack(m_connection, m_head.keepAlive, MonotonicClock::now());
        m_connection.reset();
    } else {
        close();
    }
}

void BackendTry::abort(AbortReason reason)
{
    if (!isAborted()) {
        m_abortReason = reason;
        if (m_connection != nullptr && m_connection->isOpen) {
            m_unackedAtAbort = unacknowledgedBytes(m_connection->socket);
            // Closed in order, the kernel would still deliver what a link holds back, and the
            // server would run the request long after it was withdrawn.
            setResetOnClose(m_connection->socket, true);
        }
    }
    close();
}

void BackendTry::close()
{
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

bool BackendTry::hasUnreadData() const
{
    if (m_connection == nullptr) {
        return false;
    }
    ErrorCode ignored;
    // A read that has completed may still wait for its turn in the event loop.
    return m_connection->buffer.size() > m_buffered || m_connection->socket.available(ignored) > 0;
}

} // namespace vanilladyke
