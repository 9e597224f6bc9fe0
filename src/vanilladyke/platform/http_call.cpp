#include "vanilladyke/platform/http_call.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/traffic/answer_head.hpp"
#include "vanilladyke/traffic/answer_reader.hpp"
#include "vanilladyke/traffic/peer_close.hpp"
#include "vanilladyke/traffic/reset_on_close.hpp"

#include <boost/asio/ssl.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <memory>

namespace vanilladyke {

namespace {

namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;

using Request = http::request<http::string_body>;
using AnswerParser = http::response_parser<http::string_body>;
using SecureStream = ssl::stream<Tcp::socket &>;

/// The time left until the deadline is split: one margin for connecting, the rest for waiting for
/// the response. A server that delays its response (long polling) has to end one further margin
/// earlier.
constexpr Duration MaxMargin = std::chrono::milliseconds(500);
/// A head, or the frame of a chunk, has to end within so many bytes.
constexpr std::size_t MaxUnparsedBytes = 65536;

Duration marginOf(Duration left)
{
    return std::min(left / 4, MaxMargin);
}

} // namespace

Duration longestWait(TimePoint deadline, TimePoint now)
{
    const Duration left = deadline - now;
    return std::max(Duration::zero(), left - 2 * marginOf(left));
}

/// The connection and the call in progress. Coroutines leave their result in members: this compiler
/// copies temporaries of such expressions without their constructors.
struct HttpCaller::Private
{
    Private(Endpoint server, BackendTls serverTls, std::uint64_t maxBytes)
        : endpoint(std::move(server))
        , tls(std::move(serverTls))
        , maxAnswerBytes(maxBytes)
    {}

    Outcome<HttpAnswer, HttpFailure> call(const std::string &method, const std::string &path,
                                          std::string_view body, const std::string &contentType,
                                          TimePoint deadline);
    asio::awaitable<void> run(const Request &request, TimePoint deadline);
    asio::awaitable<void> connect(TimePoint until, ErrorCode &error);
    asio::awaitable<void> connectSecurely(ErrorCode &error);
    template <typename Stream>
    asio::awaitable<void> sendAndRead(Stream &stream, const Request &request);
    template <typename Stream>
    asio::awaitable<void> readAnswer(Stream &stream, ErrorCode &error);
    void ended(ErrorCode error);
    [[nodiscard]] bool isReusable();
    void closeAt(TimePoint until);
    void close();

    const Endpoint endpoint;
    const BackendTls tls;
    const std::uint64_t maxAnswerBytes;
    std::string bearer;
    asio::io_context context;
    asio::steady_timer timer{context};
    Tcp::socket socket{context};
    ssl::context secureContext{ssl::context::tls_client};
    std::optional<SecureStream> secure;
    boost::beast::flat_buffer buffer{MaxUnparsedBytes};
    std::optional<AnswerParser> parser;
    bool sent = false;
    Outcome<HttpAnswer, HttpFailure> result;
};

Outcome<HttpAnswer, HttpFailure>
HttpCaller::Private::call(const std::string &method, const std::string &path, std::string_view body,
                          const std::string &contentType, TimePoint deadline)
{
    if (deadline <= MonotonicClock::now()) {
        return failure(HttpFailure{false, "the deadline had passed before the call"});
    }
    Request request;
    request.version(11);
    request.method_string(method);
    request.target(path);
    request.set(http::field::host, endpoint.str());
    request.set(http::field::accept, "*/*");
    if (!contentType.empty()) {
        request.set(http::field::content_type, contentType);
    }
    if (!bearer.empty()) {
        request.set(http::field::authorization, "Bearer " + bearer);
    }
    request.body() = std::string(body);
    request.prepare_payload();
    sent = false;
    result = failure(HttpFailure{false, "the call ended early"});
    context.restart();
    asio::co_spawn(context, run(request, deadline), asio::detached);
    context.run();
    return std::move(result);
}

bool HttpCaller::Private::isReusable()
{
    ErrorCode error;
    return socket.is_open() && !hasPeerClosed(socket) && socket.available(error) == 0;
}

void HttpCaller::Private::close()
{
    ErrorCode ignored;
    socket.close(ignored);
}

void HttpCaller::Private::closeAt(TimePoint until)
{
    timer.expires_at(until);
    timer.async_wait([this](const ErrorCode &cancelled) {
        if (!cancelled) {
            close();
        }
    });
}

asio::awaitable<void> HttpCaller::Private::run(const Request &request, TimePoint deadline)
{
    ErrorCode error;
    if (!isReusable()) {
        const TimePoint now = MonotonicClock::now();
        co_await connect(now + marginOf(deadline - now), error);
    }
    closeAt(deadline);
    if (error) {
        result = failure(HttpFailure{false, error.message()});
        close();
    } else if (secure) {
        co_await sendAndRead(*secure, request);
    } else {
        co_await sendAndRead(socket, request);
    }
    timer.cancel();
}

asio::awaitable<void> HttpCaller::Private::connect(TimePoint until, ErrorCode &error)
{
    close();
    secure.reset();
    buffer.clear();
    closeAt(until);
    Tcp::endpoint address = toAsio(endpoint, error);
    if (error) { // a name
        Tcp::resolver resolver(context);
        const auto found = resolver.resolve(endpoint.host, std::to_string(endpoint.port), error);
        address = error ? address : found.begin()->endpoint();
    }
    if (!error) {
        co_await socket.async_connect(address, redirectError(error));
    }
    if (!error) {
        socket.set_option(Tcp::no_delay(true), error);
        // What a call has sent is lost when it ends before its answer. In an orderly close the
        // kernel would deliver what a link holds back, however late: an order after a newer one.
        setResetOnClose(socket, true);
    }
    if (!error && tls.enabled()) {
        co_await connectSecurely(error);
    }
}

asio::awaitable<void> HttpCaller::Private::connectSecurely(ErrorCode &error)
{
    secureContext.load_verify_file(tls.authorityFile, error);
    if (!error) {
        secure.emplace(socket, secureContext);
        secure->set_verify_mode(ssl::verify_peer);
        secure->set_verify_callback(ssl::host_name_verification(endpoint.host));
        co_await secure->async_handshake(ssl::stream_base::client, redirectError(error));
    }
}

template <typename Stream>
asio::awaitable<void> HttpCaller::Private::sendAndRead(Stream &stream, const Request &request)
{
    ErrorCode error;
    sent = true;
    co_await http::async_write(stream, request, redirectError(error));
    if (!error) {
        co_await readAnswer(stream, error);
    }
    ended(error);
}

template <typename Stream>
asio::awaitable<void> HttpCaller::Private::readAnswer(Stream &stream, ErrorCode &error)
{
    bool isFollowed = true;
    while (isFollowed && !error) {
        parser.emplace();
        parser->body_limit(maxAnswerBytes);
        co_await readAnswerHead(stream, buffer, *parser, error);
        const auto &head = parser->get();
        const int status = static_cast<int>(head.result_int());
        const auto fault = error ? std::nullopt : faultOf(status, head.version(), head.base());
        if (fault || (!error && isEncoded(head.base()))) {
            LogEvent("answer_malformed", Severity::Warning)
                    .field("server", endpoint.str())
                    .field("status", status)
                    .field("fault", fault ? toString(*fault) : "encoded");
            error = http::error::bad_field;
        }
        isFollowed = isInformational(status);
    }
    if (!error) {
        co_await http::async_read(stream, buffer, *parser, redirectError(error));
    }
    if (!error && parser->get().need_eof()) {
        const bool isInOrder = co_await endedInOrder(socket, false, false);
        error = isInOrder ? error : ErrorCode(asio::error::connection_reset);
    }
}

void HttpCaller::Private::ended(ErrorCode error)
{
    if (error) {
        result = failure(HttpFailure{sent, error.message(), error == http::error::body_limit});
        close();
        return;
    }
    auto &answer = parser->get();
    const int status = static_cast<int>(answer.result_int());
    if (!answer.keep_alive() || buffer.size() > 0 || isBodyForbidden(status, answer.base())) {
        close();
    }
    result = HttpAnswer{status, std::move(answer.body())};
}

HttpCaller::HttpCaller(const Endpoint &endpoint, const BackendTls &tls,
                       std::uint64_t maxAnswerBytes)
    : m_private(std::make_unique<Private>(endpoint, tls, maxAnswerBytes))
{}

HttpCaller::HttpCaller(HttpCaller &&) noexcept = default;
HttpCaller &HttpCaller::operator=(HttpCaller &&) noexcept = default;
HttpCaller::~HttpCaller() = default;

Outcome<HttpAnswer, HttpFailure> HttpCaller::get(const std::string &path, TimePoint deadline)
{
    return m_private->call("GET", path, {}, {}, deadline);
}

Outcome<HttpAnswer, HttpFailure> HttpCaller::post(const std::string &path, std::string_view body,
                                                  const std::string &contentType,
                                                  TimePoint deadline)
{
    return m_private->call("POST", path, body, contentType, deadline);
}

void HttpCaller::cancel()
{
    asio::post(m_private->context, [call = m_private.get()] { call->close(); });
}

void HttpCaller::setBearer(const std::string &key)
{
    m_private->bearer = key;
}

} // namespace vanilladyke
