#include "vanilladyke/gateway/service_exchange.hpp"

#include <httplib.h>

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
/// Each call in progress buffers its complete answer in memory.
constexpr std::size_t MaxAnswerBytes = 64U << 20U;

void addHeader(httplib::Request &request, const char *name, const std::string &value)
{
    if (!value.empty()) {
        request.headers.emplace(name, value);
    }
}

httplib::Request requestOf(const ServiceCall &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.target;
    request.body = call.body;
    addHeader(request, "X-Request-Id", call.request.str());
    addHeader(request, "X-Customer-Id", call.customer.str());
    addHeader(request, "Idempotency-Key", call.idempotencyKey);
    addHeader(request, "Content-Type", call.contentType);
    addHeader(request, "Accept", call.accept);
    return request;
}

ExchangeFailure failureOf(const httplib::Result &result, TimePoint deadline)
{
    const std::string detail = httplib::to_string(result.error());
    if (failedBeforeSending(result.error())) {
        return {ExchangeError::ConnectFailed, detail};
    }
    const bool late = MonotonicClock::now() >= deadline;
    return {late ? ExchangeError::TimedOut : ExchangeError::Reset, detail};
}

} // namespace

Outcome<ServiceAnswer, ExchangeFailure> sendOnce(const ServiceCall &call, const Endpoint &backend,
                                                 const BackendTls &tls, TimePoint deadline)
{
    const Duration left = deadline - MonotonicClock::now();
    if (left <= Duration::zero()) {
        return failure(ExchangeFailure{ExchangeError::ConnectFailed, "no time was left to send"});
    }
    const auto client = makeBackendClient(backend, tls);
    client->set_connection_timeout(std::min(left, ConnectTimeout));
    client->set_read_timeout(left);
    client->set_write_timeout(left);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    httplib::Request request = requestOf(call);
    ServiceAnswer answer;
    // The library's time-out restarts with every byte; this also ends an answer that trickles in.
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        answer.body.append(data, size);
        return answer.body.size() <= MaxAnswerBytes && MonotonicClock::now() < deadline;
    };
    const httplib::Result result = client->send(request);
    if (!result) {
        return failure(failureOf(result, deadline));
    }
    answer.status = result->status;
    answer.contentType = result->get_header_value("Content-Type");
    return answer;
}

} // namespace vanilladyke
