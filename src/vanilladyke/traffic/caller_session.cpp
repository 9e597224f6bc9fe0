#include "vanilladyke/traffic/caller_session.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/traffic/peer_close.hpp"
#include "vanilladyke/traffic/relay_seal.hpp"

#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

/// A caller that accepts no data for this long is considered gone. Its request's deadline has
/// passed by then.
constexpr Duration WriteTimeout = std::chrono::seconds(10);
/// Allows for a body of maximum size over a slow link.
constexpr Duration BodyTimeout = std::chrono::seconds(10);
/// Longer than BackendPool::DefaultKeepAlive, for which another node reuses the connection.
constexpr Duration RelayIdleTimeout = std::chrono::seconds(15);
/// Another node adds its header lines to those of a caller, which may reach the limit already.
constexpr std::uint32_t RelayHeaderBytes = 1024;
/// Interval of the checks for a close behind unread bytes.
constexpr Duration CloseCheckInterval = std::chrono::milliseconds(100);
constexpr std::size_t ReadSize = 4096;
/// For the rest of a request that was rejected before it was read.
constexpr Duration DiscardTimeout = std::chrono::seconds(5);
constexpr std::size_t DiscardSize = 16384;
constexpr std::size_t MaxBufferedBytes = 65536;

/// HTTP status for a failed read; 0 if the connection broke and nobody can receive an answer.
int statusFor(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    const bool isSyntax =
            error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
    return isSyntax ? 400 : 0;
}

} // namespace

CallerSession::CallerSession(TrafficState &state, Tcp::socket socket, SessionKind kind)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_kind(kind)
    , m_buffer(MaxBufferedBytes)
    , m_deadlineTimer(std::make_shared<DeadlineTimer>())
{}

void CallerSession::start()
{
    m_state.ticker.add(m_deadlineTimer);
    m_deadlineTimer->onDue = [this] { close(); };
    asio::co_spawn(
            m_state.context,
            [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); },
            asio::detached);
}

void CallerSession::closeWhenIdle()
{
    m_keepsOpen = false;
    if (!isBusy() && !m_isReading) {
        close();
    }
}

void CallerSession::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

asio::awaitable<void> CallerSession::run()
{
    while (m_keepsOpen && m_socket.is_open()) {
        CallerRequest request;
        const bool hasRequest = co_await readRequest(&request);
        if (!hasRequest) {
            break;
        }
        m_keepsOpen = m_keepsOpen && request.keepsConnection && !m_state.isDraining;
        m_exchange = std::make_shared<Exchange>(m_state, std::move(request), *this);
        watchForClose();
        const std::shared_ptr<Exchange> exchange = m_exchange;
        const ExchangeResult end = co_await exchange->run();
        m_exchange.reset();
        m_deadlineTimer->dueAt.reset();
        if (m_closeCheck != nullptr) {
            m_closeCheck->dueAt.reset();
        }
        if (end == ExchangeResult::Broken) {
            break;
        }
        ErrorCode ignored;
        m_socket.cancel(ignored); // ends the wait that watchForClose() started
    }
    close();
}

CallerLimits CallerSession::callerLimits() const
{
    return m_state.table == nullptr ? CallerLimits() : m_state.table->config().limits;
}

asio::awaitable<bool> CallerSession::waitForBytes()
{
    const CallerLimits limits = callerLimits();
    const Duration idleTimeout =
            m_kind == SessionKind::Relay ? RelayIdleTimeout : limits.idleTimeout;
    m_deadlineTimer->dueAt = MonotonicClock::now() + idleTimeout;
    ErrorCode error;
    if (m_buffer.size() == 0) {
        const std::size_t got =
                co_await m_socket.async_read_some(m_buffer.prepare(ReadSize), redirectError(error));
        m_buffer.commit(got);
    }
    m_deadlineTimer->dueAt = MonotonicClock::now() + limits.headerTimeout;
    co_return !error && m_buffer.size() > 0;
}

asio::awaitable<bool> CallerSession::readRequest(CallerRequest *request)
{
    const bool hasBytes = co_await waitForBytes();
    if (!hasBytes) {
        co_return false;
    }
    m_isReading = true;
    const CallerLimits limits = callerLimits();
    RequestParser parser;
    const std::uint32_t added = m_kind == SessionKind::Relay ? RelayHeaderBytes : 0;
    parser.header_limit(limits.headerBytes + added);
    parser.body_limit(limits.bodyBytes);
    ErrorCode error;
    co_await http::async_read_header(m_socket, m_buffer, parser, redirectError(error));
    m_deadlineTimer->dueAt.reset();
    if (error) {
        co_await rejectBroken(error);
        co_return false;
    }
    auto read = m_state.dialect.parseRequest(parser.get().base(), MonotonicClock::now());
    if (!read) {
        LogEvent("bad_request", Severity::Warning).field("reason", read.error().reason);
        co_await rejectUnread(400);
        co_return false;
    }
    *request = std::move(*read);
    request->method = std::string(parser.get().method_string());
    request->target = std::string(parser.get().target());
    request->keepsConnection = parser.get().keep_alive() && parser.get().version() >= 11;
    if (!parser.is_done()) {
        const bool isRead = co_await readBody(parser, request);
        if (!isRead) {
            co_return false;
        }
    }
    m_isReading = false;
    if (!isPermitted(*request)) {
        m_state.metrics.count("relay_seals_rejected_total");
        LogEvent("relay_rejected", Severity::Warning).field("id", request->id);
        co_await rejectRequest(403);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> CallerSession::readBody(RequestParser &parser, CallerRequest *request)
{
    // The size of a body in chunks is not known. It begins as a small one. Once it is larger, it
    // needs a share of the largest size: if several grew in steps, each could wait for the others.
    const auto length = parser.content_length();
    bool isSizeKnown = length.has_value();
    const std::size_t first = isSizeKnown ? *length : BufferBudget::SmallBody;
    BodySharePtr share = co_await enterBody(first, *request);
    if (share == nullptr) {
        co_return false;
    }
    if (parser.get()[http::field::expect] == "100-continue") {
        const bool isWritten = co_await write("HTTP/1.1 100 Continue\r\n\r\n");
        if (!isWritten) {
            co_return false;
        }
    }
    const TimePoint end = MonotonicClock::now() + BodyTimeout;
    ErrorCode error;
    while (!error && !parser.is_done()) {
        if (!isSizeKnown && parser.get().body().size() > BufferBudget::SmallBody) {
            isSizeKnown = true;
            share = co_await enterBody(callerLimits().bodyBytes, *request);
            if (share == nullptr) {
                co_return false;
            }
            // A string that grows holds its old and its new memory at times.
            parser.get().body().reserve(callerLimits().bodyBytes);
        }
        m_deadlineTimer->dueAt = end;
        co_await http::async_read_some(m_socket, m_buffer, parser, redirectError(error));
        m_deadlineTimer->dueAt.reset();
    }
    if (error) {
        co_await rejectBroken(error);
        co_return false;
    }
    request->headArrived = std::exchange(request->arrived, MonotonicClock::now());
    request->body = std::move(parser.get().body());
    share->shrinkTo(request->body.size());
    request->bodyShare = std::move(share);
    co_return true;
}

TimePoint CallerSession::latestBodyStart(const CallerRequest &request) const
{
    if (m_kind == SessionKind::Relay) {
        return request.arrived; // the node that handed it on holds its body, and asks another node
    }
    const Route *route =
            m_state.table == nullptr ? nullptr : m_state.table->find(request.host, request.target);
    TimePoint deadline = request.arrived + (route == nullptr ? BodyTimeout : route->timeout);
    deadline = std::min(deadline, request.deadline.value_or(deadline));
    // The other half of the time is for reading and serving it.
    return request.arrived + (deadline - request.arrived) / 2;
}

asio::awaitable<BodySharePtr> CallerSession::enterBody(std::size_t bytes,
                                                       const CallerRequest &request)
{
    BodySharePtr share = co_await m_state.buffers->enter(bytes, latestBodyStart(request));
    const bool hasLeft = (share == nullptr || share->hasWaited()) && hasCallerLeft();
    if (share != nullptr && !hasLeft) {
        co_return share;
    }
    share.reset();
    m_state.metrics.count("bodies_rejected_total");
    LogEvent("body_rejected", Severity::Warning)
            .field("id", request.id)
            .field("bytes", bytes)
            .field("after_ms", MonotonicClock::now() - request.arrived)
            .field("held", m_state.buffers->budget().held())
            .field("waiting", m_state.buffers->budget().waiting())
            .field("caller_left", hasLeft);
    if (!hasLeft) {
        co_await rejectUnread(503, "Retry-After: 1\r\n");
    }
    co_return nullptr;
}

bool CallerSession::isPermitted(CallerRequest &request) const
{
    if (m_kind == SessionKind::Caller) {
        request.relay.reset();
        return true;
    }
    return hasValidSeal(m_state.digester, request);
}

asio::awaitable<void> CallerSession::rejectBroken(ErrorCode error)
{
    const int status = statusFor(error);
    if (status != 0) {
        co_await rejectUnread(status);
    }
}

asio::awaitable<void> CallerSession::rejectUnread(int status, std::string_view lines)
{
    co_await rejectRequest(status, lines);
    ErrorCode error;
    m_socket.shutdown(Tcp::socket::shutdown_send, error);
    m_deadlineTimer->dueAt = MonotonicClock::now() + DiscardTimeout;
    std::size_t left = callerLimits().bodyBytes;
    while (!error && left > 0) {
        m_buffer.clear();
        const std::size_t got = co_await m_socket.async_read_some(m_buffer.prepare(DiscardSize),
                                                                  redirectError(error));
        left -= std::min(got, left);
    }
    m_deadlineTimer->dueAt.reset();
}

asio::awaitable<void> CallerSession::rejectRequest(int status, std::string_view lines)
{
    m_keepsOpen = false;
    std::string answer = "HTTP/1.1 " + std::to_string(status) + " "
                         + std::string(http::obsolete_reason(static_cast<http::status>(status)))
                         + "\r\nConnection: close\r\n" + std::string(lines);
    if (m_kind == SessionKind::Relay) {
        answer += m_state.dialect.notExecutedLine;
    }
    answer += "Content-Length: 0\r\n\r\n";
    static_cast<void>(co_await write(std::move(answer)));
}

void CallerSession::watchForClose()
{
    if (m_buffer.size() > 0) {
        checkForClose();
        return;
    }
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this(),
                         watched = std::weak_ptr(m_exchange)](const ErrorCode &error) {
                            const auto exchange = watched.lock();
                            if (!error && exchange != nullptr && exchange == self->m_exchange) {
                                self->checkForClose();
                            }
                        });
}

void CallerSession::checkForClose()
{
    if (m_exchange == nullptr) {
        return;
    }
    ErrorCode failed;
    const bool isAtEnd = m_buffer.size() == 0 && m_socket.available(failed) == 0;
    if (isAtEnd || failed || hasCallerLeft()) {
        m_exchange->callerDisconnected();
        close();
        return;
    }
    // Unread bytes keep the socket readable, so that a wait would not show the close behind them.
    if (m_closeCheck == nullptr) {
        m_closeCheck = std::make_shared<DeadlineTimer>();
        m_closeCheck->onDue = [this] { checkForClose(); };
        m_state.ticker.add(m_closeCheck);
    }
    m_closeCheck->dueAt = MonotonicClock::now() + CloseCheckInterval;
}

asio::awaitable<bool> CallerSession::write(std::string bytes)
{
    m_deadlineTimer->dueAt = MonotonicClock::now() + WriteTimeout;
    ErrorCode error;
    co_await asio::async_write(m_socket, asio::buffer(bytes), redirectError(error));
    m_deadlineTimer->dueAt.reset();
    co_return !error;
}

std::string CallerSession::connectionLine()
{
    m_keepsOpen = m_keepsOpen && !m_state.isDraining;
    return m_keepsOpen ? std::string() : "Connection: close\r\n";
}

bool CallerSession::hasCallerLeft()
{
    return !m_socket.is_open() || hasPeerClosed(m_socket);
}

} // namespace vanilladyke
