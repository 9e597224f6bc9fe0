#include "vanilladyke/traffic/exchange.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

/// The part of Exchange that writes to the caller: forwarded answers and the node's own refusals.
namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

/// A repeatable stream that pauses for this many times the route's longest regular pause is hedged.
constexpr int StreamTimeoutPauses = 3;
/// Lower bound of that pause: an overloaded engine may pause a stream for one second, and callers
/// time out after two seconds or more.
constexpr Duration MinStreamTimeout = std::chrono::milliseconds(1500);

/// Encodes @p data as one chunk of the chunked transfer coding.
std::string chunk(const std::string &data)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

std::string statusLine(int status, std::string_view reason)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

std::string reasonOf(int status)
{
    return std::string(http::obsolete_reason(static_cast<http::status>(status)));
}

} // namespace

asio::awaitable<TryResult> Exchange::forward(BackendTryPtr attempt)
{
    const AnswerHead &head = attempt->head();
    m_firstByteAt = attempt->beganAt();
    m_status = head.status;
    const AnswerRank rank = rankOf(head.status);
    if (rank == AnswerRank::Failed || (rank == AnswerRank::Provisional && !m_hedges.empty())) {
        co_return keepError(*attempt);
    }
    dropHedges();
    setAnswerDeadline(std::nullopt);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && m_route->kind == RequestKind::Stream && m_request->method != "HEAD") {
        const TryResult end = co_await relayEvents(attempt);
        if (end == TryResult::Delivered) {
            attempt->release();
        }
        co_return end;
    }
    const KeptBody body = attempt->takeBody();
    attempt->release();
    const bool delivered = co_await deliver(head, body.text);
    co_return delivered ? TryResult::Delivered : TryResult::Interrupted;
}

asio::awaitable<TryResult> Exchange::relayEvents(BackendTryPtr attempt)
{
    static_cast<void>(m_events.takePending()); // the incomplete event of a server before
    const Duration streamTimeout =
            std::max<Duration>(m_route->longestPause * StreamTimeoutPauses, MinStreamTimeout);
    std::string bytes = attempt->takeBody().text;
    AnswerShare share(m_state.buffers); // of the incomplete event
    bool hasRead = true;
    for (;;) {
        const bool isLast = hasRead && attempt->isWhole();
        if (isLast) {
            setAnswerDeadline(std::nullopt);
        } else if (!bytes.empty() && isRepeatable()) {
            // Set before the event is forwarded. Otherwise the deadline for the first event could
            // expire during the write and hedge a stream that is on time.
            setAnswerDeadline(MonotonicClock::now() + streamTimeout);
        }
        std::string whole = m_events.feed(bytes);
        if (isLast && m_events.hasPending()) {
            if (attempt->endsWithConnection()) {
                co_return m_headWritten ? TryResult::Interrupted : TryResult::Lost;
            }
            whole += m_events.takePending();
        }
        if (!whole.empty() || isLast) {
            dropHedges();
            if (!whole.empty()) {
                co_await bindToServer(attempt);
            }
            const bool isWritten = co_await writeEvents(attempt->head(), whole, isLast);
            if (!isWritten) {
                callerDisconnected();
                co_return TryResult::Interrupted;
            }
        }
        if (isLast) {
            co_return TryResult::Delivered;
        }
        if (!hasRead) {
            co_return m_headWritten ? TryResult::Interrupted : TryResult::Lost;
        }
        bytes.clear();
        share.resize(m_events.capacity());
        hasRead = co_await attempt->readSome(&bytes);
        if (isDiscarded(*attempt) || m_events.isTooLarge() || !share.fits(m_events.pending())) {
            co_return m_headWritten ? TryResult::Interrupted : TryResult::Lost;
        }
    }
}

asio::awaitable<bool> Exchange::writeEvents(const AnswerHead &head, const std::string &events,
                                            bool isLast)
{
    std::string out;
    if (!m_headWritten) {
        out = statusLine(head.status, head.reason) + head.forwardedHeaders + m_sink.connectionLine()
              + "Transfer-Encoding: chunked\r\n";
        if (m_request->relay && m_software) {
            out += m_state.dialect.softwareLine(*m_software);
        }
        out += "\r\n";
        m_headWritten = true;
    }
    if (!events.empty()) {
        out += chunk(events);
    }
    if (isLast) {
        out += "0\r\n\r\n";
    }
    m_isWriting = true;
    const bool isWritten = co_await m_sink.write(std::move(out));
    m_isWriting = false;
    co_return isWritten;
}

TryResult Exchange::keepError(BackendTry &attempt)
{
    const AnswerRank rank = rankOf(attempt.head().status);
    if (!m_error || rank <= rankOf(m_error->head.status)) {
        m_error = ErrorAnswer{attempt.head(), attempt.takeBody()};
    }
    return rank == AnswerRank::Failed ? TryResult::Failed : TryResult::Kept;
}

bool Exchange::isAnswered() const
{
    return m_error && rankOf(m_error->head.status) != AnswerRank::Failed;
}

asio::awaitable<bool> Exchange::deliver(const AnswerHead &head, const std::string &body)
{
    const bool hasNoBody = head.status == 204 || head.status == 304;
    std::string out =
            statusLine(head.status, head.reason) + head.forwardedHeaders + m_sink.connectionLine();
    if (!hasNoBody) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    out += "\r\n";
    if (m_request->method != "HEAD") {
        out += body;
    }
    m_headWritten = true;
    m_status = head.status;
    co_return co_await m_sink.write(std::move(out));
}

asio::awaitable<ExchangeResult> Exchange::finishUnanswered()
{
    if (m_callerDisconnected) {
        log(0, "caller_left");
        co_return ExchangeResult::Broken;
    }
    if (m_headWritten) {
        countOwnCut();
        log(m_status, "stream_broken");
        co_return ExchangeResult::Broken;
    }
    if (m_error) {
        const bool delivered = co_await deliver(m_error->head, m_error->body.text);
        log(m_status, isAnswered() ? "answered" : "backend_failed");
        co_return delivered ? ExchangeResult::Answered : ExchangeResult::Broken;
    }
    const TimePoint now = MonotonicClock::now();
    const std::optional<TimePoint> held = heldUntil(now);
    if (held && ran() == Ran::No) {
        co_return co_await refuse(503, toString(RefusalReason::EndsEngines), *held - now);
    }
    if (ran() == Ran::No && isVersionGone()) {
        co_return co_await refuse(503, toString(RefusalReason::VersionGone), std::nullopt);
    }
    if (ran() == Ran::No) {
        constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
        const TimePoint retryAt =
                std::min(m_noBackend.retryAt, m_placeExpectedAt.value_or(TimePoint::max()));
        const Duration after = std::max<Duration>(retryAt - now, MinRetryAfter);
        const std::string_view reason =
                m_timedOut || m_isTooLate || m_deadline - now < MinTimeForTry
                        ? toString(RefusalReason::TooLate)
                : m_budgetSpent ? toString(RefusalReason::RetryBudgetSpent)
                                : toString(RefusalReason::NoBackend);
        co_return co_await refuse(503, reason, std::min<Duration>(after, std::chrono::seconds(2)));
    }
    countOwnCut();
    const int status = m_timedOut ? 504 : 502;
    co_return co_await refuse(status, toString(RefusalReason::OutcomeUnknown), std::nullopt);
}

asio::awaitable<ExchangeResult> Exchange::refuse(int status, std::string_view reason,
                                                 std::optional<Duration> retryAfter)
{
    std::string body = R"({"error":")" + std::string(reason) + R"(","ran":")"
                       + std::string(toString(ran())) + "\"}";
    std::string out = statusLine(status, reasonOf(status)) + "Content-Type: application/json\r\n"
                      + m_sink.connectionLine();
    if (retryAfter) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f", secondsOf(*retryAfter));
        out += "Retry-After: " + std::string(text.data()) + "\r\n";
    }
    if (m_request->relay && ran() == Ran::No) {
        out += m_state.dialect.notExecutedLine;
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (m_request->method != "HEAD") {
        out += body;
    }
    m_status = status;
    const bool isWritten = co_await m_sink.write(std::move(out));
    log(status, reason);
    co_return isWritten ? ExchangeResult::Answered : ExchangeResult::Broken;
}

} // namespace vanilladyke
