#include "vanilladyke/gateway/service_connection.hpp"

#include "vanilladyke/traffic/answer_head.hpp"
#include "vanilladyke/traffic/answer_reader.hpp"
#include "vanilladyke/traffic/peer_close.hpp"
#include "vanilladyke/traffic/reset_on_close.hpp"

#include <boost/asio/ssl.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace vanilladyke {

namespace {

namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
/// Each call in progress buffers its complete answer in memory.
constexpr std::uint64_t MaxAnswerBytes = 64U << 20U;
constexpr std::uint32_t MaxHeadBytes = 64U << 10U;

using Request = http::request<http::string_body>;
using AnswerParser = http::response_parser<http::string_body>;

void setField(Request &request, boost::beast::string_view name, const std::string &value)
{
    if (!value.empty()) {
        request.set(name, value);
    }
}

Request requestOf(const ServiceCall &call, const Endpoint &backend)
{
    Request request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, backend.str());
    request.set(http::field::connection, "close");
    request.set(http::field::accept, call.accept.empty() ? std::string("*/*") : call.accept);
    setField(request, "X-Request-Id", call.request.str());
    setField(request, "X-Customer-Id", call.customer.str());
    setField(request, "Idempotency-Key", call.idempotencyKey);
    setField(request, "Content-Type", call.contentType);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

/// Whether a further answer follows. One with a body is none, and ends the reading.
bool isFollowed(const AnswerParser &parser)
{
    const auto &message = parser.get();
    const int status = static_cast<int>(message.result_int());
    return isInformational(status) && !faultOf(status, message.version(), message.base());
}

} // namespace

ServiceConnection::ServiceConnection(Endpoint backend, BackendTls tls)
    : m_backend(std::move(backend))
    , m_tls(std::move(tls))
{}

Outcome<ServiceAnswer, ExchangeFailure> ServiceConnection::exchange(const ServiceCall &call,
                                                                    TimePoint deadline)
{
    fail(ExchangeError::Reset, "the exchange ended early");
    asio::co_spawn(m_context, run(call, deadline), asio::detached);
    m_context.run();
    const bool isLate = MonotonicClock::now() >= deadline;
    if (!m_answer && m_answer.error().error == ExchangeError::Reset && isLate) {
        m_answer.error().error = ExchangeError::TimedOut;
    }
    return std::move(m_answer);
}

void ServiceConnection::fail(ExchangeError kind, std::string detail)
{
    m_answer = failure(ExchangeFailure{kind, std::move(detail)});
}

void ServiceConnection::ended(const ErrorCode &error, AnswerParser &parser)
{
    if (error) {
        fail(ExchangeError::Reset, error.message());
        return;
    }
    auto &message = parser.get();
    if (const auto fault = faultOf(static_cast<int>(message.result_int()), message.version(),
                                   message.base())) {
        fail(ExchangeError::Reset, "the answer is malformed: " + std::string(toString(*fault)));
        return;
    }
    if (isEncoded(message.base())) {
        // Callers are told nothing of an encoding, and would take the encoded body for the body.
        fail(ExchangeError::Reset, "the answer is encoded");
        return;
    }
    m_answer = ServiceAnswer{static_cast<int>(message.result_int()),
                             std::string(message[http::field::content_type]),
                             std::move(message.body()), false};
}

void ServiceConnection::cancel()
{
    asio::post(m_context, [this] {
        m_isCancelled = true;
        close();
    });
}

void ServiceConnection::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

void ServiceConnection::closeAt(TimePoint deadline)
{
    m_timer.expires_at(deadline);
    m_timer.async_wait([this](const ErrorCode &cancelled) {
        if (!cancelled) {
            close();
        }
    });
}

asio::awaitable<void> ServiceConnection::run(const ServiceCall &call, TimePoint deadline)
{
    const TimePoint now = MonotonicClock::now();
    if (m_isCancelled || now >= deadline) {
        fail(ExchangeError::ConnectFailed, "no time was left to send");
        co_return;
    }
    m_deadline = deadline;
    closeAt(std::min<TimePoint>(deadline, now + ConnectTimeout));
    if (m_tls.enabled()) {
        co_await runSecure(call);
    } else {
        co_await runPlain(call);
    }
    m_timer.cancel();
    close();
}

asio::awaitable<void> ServiceConnection::connect(ErrorCode &error)
{
    const Tcp::endpoint address = toAsio(m_backend, error);
    if (!error) {
        co_await m_socket.async_connect(address, redirectError(error));
    }
    if (!error) {
        m_socket.set_option(Tcp::no_delay(true), error);
        // A call that is given up is not delivered later.
        setResetOnClose(m_socket, true);
    }
}

template <typename Stream>
asio::awaitable<void> ServiceConnection::sendAndRead(Stream &stream, const ServiceCall &call)
{
    closeAt(m_deadline);
    ErrorCode error;
    Request request = requestOf(call, m_backend);
    co_await http::async_write(stream, request, redirectError(error));
    boost::beast::flat_buffer buffer;
    std::optional<AnswerParser> parser(std::in_place);
    while (!error && (!parser->is_done() || isFollowed(*parser))) {
        parser.emplace();
        parser->header_limit(MaxHeadBytes);
        parser->body_limit(MaxAnswerBytes);
        parser->skip(request.method() == http::verb::head);
        co_await readAnswerHead(stream, buffer, *parser, error);
        if (!error) {
            co_await http::async_read(stream, buffer, *parser, redirectError(error));
        }
    }
    if (!error && parser->get().need_eof()) {
        const bool isInOrder = co_await endedInOrder(m_socket, false, false);
        error = isInOrder ? error : ErrorCode(asio::error::connection_reset);
    }
    ended(error, *parser);
}

asio::awaitable<void> ServiceConnection::runPlain(const ServiceCall &call)
{
    ErrorCode error;
    co_await connect(error);
    if (error) {
        notSent(error);
        co_return;
    }
    co_await sendAndRead(m_socket, call);
}

asio::awaitable<void> ServiceConnection::runSecure(const ServiceCall &call)
{
    ErrorCode error;
    ssl::context context(ssl::context::tls_client);
    context.load_verify_file(m_tls.authorityFile, error);
    if (!error) {
        co_await connect(error);
    }
    ssl::stream<Tcp::socket &> stream(m_socket, context);
    stream.set_verify_mode(ssl::verify_peer);
    stream.set_verify_callback(ssl::host_name_verification(m_backend.host));
    if (!error) {
        co_await stream.async_handshake(ssl::stream_base::client, redirectError(error));
    }
    if (error) {
        notSent(error);
        co_return;
    }
    co_await sendAndRead(stream, call);
}

} // namespace vanilladyke
