#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

/// What an exchange gives its caller: a server's answer as it comes, or its own last word.
namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t PieceBytes = 16384;
constexpr std::size_t LongestHeldAnswer = 8U << 20U;
/// A resumable stream that pauses for so many of its longest good pauses is taken up elsewhere.
constexpr int PausesToWait = 3;
/// Callers give up after two seconds or more; a crowded engine may pause a stream for a second.
constexpr Duration LeastSilence = std::chrono::milliseconds(1500);

std::string chunk(const std::string &data)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

Duration spanOf(Millis predicted)
{
    return std::chrono::duration_cast<Duration>(predicted);
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

void Exchange::release(const BackendConnectionPtr &connection, const AnswerParser &parser,
                       const AnswerHead &head)
{
    const bool isClean = !connection->isWriting && connection->buffer.size() == 0
                         && parser.get().keep_alive() && !head.closes && !parser.get().need_eof();
    if (isClean && connection->isOpen) {
        m_state.pool.giveBack(connection, head.keepAlive, MonotonicClock::now());
    } else {
        connection->close();
    }
}

asio::awaitable<bool> Exchange::readSome(BackendConnection &connection, AnswerParser &parser,
                                         std::string *out)
{
    std::array<char, PieceBytes> piece; // NOLINT: filled by the parser
    auto &body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    ErrorCode error;
    co_await http::async_read_some(connection.socket, connection.buffer, parser, into(error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    out->append(piece.data(), piece.size() - body.size);
    co_return !error;
}

asio::awaitable<bool> Exchange::readWhole(BackendConnection &connection, AnswerParser &parser,
                                          std::string *out)
{
    while (!parser.is_done()) {
        const bool isGood = co_await readSome(connection, parser, out);
        if (!isGood || out->size() > LongestHeldAnswer) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<Exchange::TryEnd> Exchange::relayEvents(const BackendChoice &choice,
                                                        const BackendConnectionPtr &connection,
                                                        AnswerParser &parser,
                                                        const AnswerHead &head)
{
    static_cast<void>(m_events.takePending());
    const Duration silence = std::max<Duration>(m_route->longestPause * PausesToWait, LeastSilence);
    while (!parser.is_done()) {
        std::string bytes;
        const bool isGood = co_await readSome(*connection, parser, &bytes);
        if (m_stalled && !m_headWritten) {
            co_return TryEnd::Lost; // given up while it was read; the rest will not come
        }
        if (!bytes.empty() && !m_firstByteAt) {
            m_firstByteAt = MonotonicClock::now();
            m_state.book.began(choice, *m_firstByteAt);
            m_exchange.apply(ExchangeEvent::AnswerReceived);
        }
        if (!bytes.empty() && mayRepeat()) {
            // Before the event is written on: the patience for the first one must not end while it
            // is.
            setPatience(MonotonicClock::now() + silence);
        }
        std::string whole = m_events.feed(bytes);
        const bool isLast = isGood && parser.is_done();
        if (isLast && m_events.isInside()) {
            if (parser.get().need_eof()) {
                co_return m_headWritten ? TryEnd::Interrupted : TryEnd::Lost;
            }
            whole += m_events.takePending();
        }
        std::string out;
        if (!whole.empty() || isLast) {
            if (!m_headWritten) {
                out = statusLine(head.status, head.reason) + head.passedOn + m_sink.connectionLine()
                      + "Transfer-Encoding: chunked\r\n\r\n";
                m_headWritten = true;
            }
            if (!whole.empty()) {
                out += chunk(whole);
            }
            if (isLast) {
                out += "0\r\n\r\n";
            }
            const bool isThere = co_await m_sink.write(std::move(out));
            if (!isThere) {
                m_callerLeft = true;
                co_return TryEnd::Interrupted;
            }
        }
        if (!isGood) {
            co_return m_headWritten ? TryEnd::Interrupted : TryEnd::Lost;
        }
    }
    co_return TryEnd::Delivered;
}

asio::awaitable<bool> Exchange::deliver(const AnswerHead &head, const std::string &body)
{
    const bool hasNoBody = head.status == 204 || head.status == 304;
    std::string out =
            statusLine(head.status, head.reason) + head.passedOn + m_sink.connectionLine();
    if (!hasNoBody) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    out += "\r\n";
    if (m_request.method != "HEAD") {
        out += body;
    }
    m_headWritten = true;
    m_status = head.status;
    co_return co_await m_sink.write(std::move(out));
}

asio::awaitable<ExchangeEnd> Exchange::giveUp()
{
    if (m_callerLeft) {
        log(0, "caller_left");
        co_return ExchangeEnd::Broken;
    }
    if (m_headWritten) {
        log(m_status, "stream_broken");
        co_return ExchangeEnd::Broken;
    }
    if (m_failure) {
        const bool delivered = co_await deliver(m_failure->head, m_failure->body);
        log(m_status, "backend_failed");
        co_return delivered ? ExchangeEnd::Answered : ExchangeEnd::Broken;
    }
    const TimePoint now = MonotonicClock::now();
    const std::optional<TimePoint> held = heldUntil(now);
    if (held && m_exchange.ran() == Ran::No) {
        co_return co_await refuse(503, toString(RefusalReason::EndsEngines), *held - now);
    }
    if (m_exchange.ran() == Ran::No) {
        constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
        const Duration after = std::max<Duration>(m_none.retryAt - now, LeastRetryAfter);
        const std::string_view reason =
                m_timedOut || m_isTooLate || m_deadline - now < LeastTimeForTry
                        ? toString(RefusalReason::TooLate)
                : m_budgetSpent ? toString(RefusalReason::RetryBudgetSpent)
                                : toString(RefusalReason::NoBackend);
        co_return co_await refuse(503, reason, std::min<Duration>(after, std::chrono::seconds(2)));
    }
    const int status = m_timedOut ? 504 : 502;
    co_return co_await refuse(status, toString(RefusalReason::OutcomeUnknown), std::nullopt);
}

asio::awaitable<ExchangeEnd> Exchange::refuse(int status, std::string_view reason,
                                              std::optional<Duration> retryAfter)
{
    std::string body = R"({"error":")" + std::string(reason) + R"(","ran":")"
                       + std::string(toString(m_exchange.ran())) + "\"}";
    std::string out = statusLine(status, reasonOf(status)) + "Content-Type: application/json\r\n"
                      + m_sink.connectionLine();
    if (retryAfter) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f", secondsOf(*retryAfter));
        out += "Retry-After: " + std::string(text.data()) + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    m_status = status;
    const bool isThere = co_await m_sink.write(std::move(out));
    log(status, reason);
    co_return isThere ? ExchangeEnd::Answered : ExchangeEnd::Broken;
}

void Exchange::log(int status, std::string_view outcome)
{
    const TimePoint now = MonotonicClock::now();
    const std::string route = m_route == nullptr ? "none" : m_route->name;
    m_state.metrics.count("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    m_state.metrics.observe("request_seconds", now - m_request.arrived);
    LogEvent("request")
            .field("id", m_request.id)
            .field("route", route)
            .field("customer", m_customer == nullptr ? "none" : m_customer->id.str())
            .field("config", m_table == nullptr ? 0 : m_table->config().version)
            .field("proof_age_ms", m_state.configAge())
            .field("backend", m_choice ? m_choice->backend.id.str() : "none")
            .field("weights", m_choice ? m_choice->weights : 0)
            .field("weights_left_ms", m_weightsLeft.value_or(Duration::zero()))
            .field("part", m_choice ? m_choice->part : 0)
            .field("shared", m_choice ? m_choice->sharedTokens : 0)
            .field("prompt", m_request.promptTokens)
            .field("held", m_choice && m_choice->isCached)
            .field("source", m_choice && m_choice->fetchFrom ? m_choice->fetchFrom->str() : "none")
            .field("saved", m_choice && m_choice->saveTo)
            .field("cost_ms", spanOf(m_choice ? m_choice->cost : Millis()))
            .field("predicted_ms", spanOf(m_choice ? m_choice->timeToFirstToken : Millis()))
            .field("wait_ms", spanOf(m_choice ? m_choice->wait : Millis()))
            .field("tokens_per_ms", m_choice ? m_choice->tokensPerMs : 0.0)
            .field("read_ms", spanOf(m_choice ? m_choice->prefill : Millis()))
            .field("candidates", m_choice ? m_choice->candidates : 0)
            .field("status", status)
            .field("outcome", outcome)
            .field("ran", toString(m_exchange.ran()))
            .field("sends", m_sends)
            .field("first_ms",
                   m_firstByteAt ? *m_firstByteAt - m_request.arrived : Duration::zero())
            .field("total_ms", now - m_request.arrived);
}

} // namespace vanilladyke
