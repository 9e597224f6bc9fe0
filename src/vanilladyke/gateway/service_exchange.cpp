#include "vanilladyke/gateway/service_exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <httplib.h>

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr Duration ConnectWithin = std::chrono::milliseconds(500);
/// Sendings of a repeatable call: one more than the first, since a retry costs the fleet a call.
constexpr int MostSendings = 2;

httplib::Request requestOf(const ServiceCall &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.headers = {{"X-Request-Id", call.request.str()}, {"X-Customer", call.customer.str()}};
    if (!call.contentType.empty()) {
        request.set_header("Content-Type", call.contentType);
    }
    if (!call.idempotencyKey.empty()) {
        request.set_header("Idempotency-Key", call.idempotencyKey);
    }
    // The library's time-outs hold for each piece that arrives; an answer that drips would last
    // beyond the deadline.
    request.progress = [deadline = call.deadline](std::uint64_t, std::uint64_t) {
        return MonotonicClock::now() < deadline;
    };
    return request;
}

bool neverConnected(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::BindIPAddress;
}

/// One try on a connection of its own: on one that was kept open, a server that closed it and a
/// server that lost the call look alike.
Outcome<ServiceAnswer, std::string> sendOnce(const ServiceCall &call, const Endpoint &backend,
                                             ExchangeState *state)
{
    const Duration left = call.deadline - MonotonicClock::now();
    if (left <= Duration::zero()) {
        return failure(std::string("the deadline passed before sending"));
    }
    httplib::Client client(backend.host, backend.port);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false); // the path goes on as the caller wrote it
    client.set_connection_timeout(std::min(ConnectWithin, left));
    client.set_read_timeout(left);
    client.set_write_timeout(left);
    httplib::Request request = requestOf(call);
    state->apply(ExchangeEvent::SendStarted);
    const httplib::Result result = client.send(request);
    if (result) {
        state->apply(ExchangeEvent::AnswerReceived);
        return ServiceAnswer{static_cast<std::uint32_t>(result->status),
                             result->get_header_value("Content-Type"), result->body};
    }
    state->apply(neverConnected(result.error()) ? ExchangeEvent::ConnectFailed
                                                : ExchangeEvent::ConnectionLost);
    return failure(backend.str() + ": " + httplib::to_string(result.error()));
}

} // namespace

Outcome<ServiceAnswer, std::string> sendToService(const ServiceCall &call, const Service &service,
                                                  ExchangeState *state, Random &random)
{
    Outcome<ServiceAnswer, std::string> answer =
            failure(std::string("the service has no backend server"));
    std::vector<Endpoint> backends = service.backends;
    std::shuffle(backends.begin(), backends.end(), random);
    int sendings = 0;
    for (const Endpoint &backend : backends) {
        answer = sendOnce(call, backend, state);
        LogEvent("service_exchange")
                .field("request", call.request.str())
                .field("service", service.id.str())
                .field("backend", backend.str())
                .field("stage", toString(state->stage()))
                .field("detail",
                       answer ? "status " + std::to_string(answer->status) : answer.error());
        if (state->ran() == Ran::No) {
            continue;
        }
        ++sendings;
        if (answer || !service.repeatable || sendings == MostSendings) {
            break;
        }
    }
    return answer;
}

} // namespace vanilladyke
