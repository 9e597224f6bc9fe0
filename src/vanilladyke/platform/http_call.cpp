#include "vanilladyke/platform/http_call.hpp"

#include <httplib.h>

#include <algorithm>
#include <memory>

namespace vanilladyke {

namespace {

/// The time left until the deadline is split: one margin for connecting, the rest for waiting for
/// the response. A server that delays its response (long polling) has to end one further margin
/// earlier.
constexpr Duration MaxMargin = std::chrono::milliseconds(500);

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

struct HttpCaller::Private
{
    Private(const Endpoint &endpoint, const BackendTls &tls)
        : client(makeBackendClient(endpoint, tls))
    {
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }

    Outcome<HttpAnswer, HttpFailure> call(httplib::Request &request, TimePoint deadline);

    std::unique_ptr<httplib::Client> client;
    std::string bearer;
};

Outcome<HttpAnswer, HttpFailure> HttpCaller::Private::call(httplib::Request &request,
                                                           TimePoint deadline)
{
    const Duration left = deadline - MonotonicClock::now();
    if (left <= Duration::zero()) {
        return failure(HttpFailure{false, "the deadline had passed before the call"});
    }
    client->set_connection_timeout(marginOf(left));
    client->set_read_timeout(left - marginOf(left));
    client->set_write_timeout(left - marginOf(left));
    if (!bearer.empty()) {
        request.set_header("Authorization", "Bearer " + bearer);
    }
    // httplib applies its time-outs to each chunk. A response that arrives in slow small chunks
    // would exceed any deadline, so the deadline is checked for each chunk.
    request.progress = [deadline](std::uint64_t, std::uint64_t) {
        return MonotonicClock::now() < deadline;
    };
    const httplib::Result result = client->send(request);
    if (result) {
        return HttpAnswer{result->status, result->body};
    }
    const httplib::Error error = result.error();
    return failure(HttpFailure{!failedBeforeSending(error), httplib::to_string(error)});
}

HttpCaller::HttpCaller(const Endpoint &endpoint, const BackendTls &tls)
    : m_private(std::make_unique<Private>(endpoint, tls))
{}

HttpCaller::HttpCaller(HttpCaller &&) noexcept = default;
HttpCaller &HttpCaller::operator=(HttpCaller &&) noexcept = default;
HttpCaller::~HttpCaller() = default;

Outcome<HttpAnswer, HttpFailure> HttpCaller::get(const std::string &path, TimePoint deadline)
{
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    return m_private->call(request, deadline);
}

Outcome<HttpAnswer, HttpFailure> HttpCaller::post(const std::string &path, std::string_view body,
                                                  const std::string &contentType,
                                                  TimePoint deadline)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.set_header("Content-Type", contentType);
    return m_private->call(request, deadline);
}

void HttpCaller::cancel()
{
    m_private->client->stop();
}

void HttpCaller::setBearer(const std::string &key)
{
    m_private->bearer = key;
}

} // namespace vanilladyke
