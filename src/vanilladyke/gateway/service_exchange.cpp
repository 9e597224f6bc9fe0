#include "vanilladyke/gateway/service_exchange.hpp"

#include "vanilladyke/gateway/reader_threads.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>

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

Outcome<ServiceAnswer, ExchangeFailure> sendWith(httplib::Client &client, const ServiceCall &call,
                                                 TimePoint deadline)
{
    const Duration left = deadline - MonotonicClock::now();
    if (left <= Duration::zero()) {
        return failure(ExchangeFailure{ExchangeError::ConnectFailed, "no time was left to send"});
    }
    client.set_connection_timeout(std::min(left, ConnectTimeout));
    client.set_read_timeout(left);
    client.set_write_timeout(left);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    httplib::Request request = requestOf(call);
    ServiceAnswer answer;
    // The library's time-out restarts with every byte; this also ends an answer that trickles in.
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        answer.body.append(data, size);
        return answer.body.size() <= MaxAnswerBytes && MonotonicClock::now() < deadline;
    };
    const httplib::Result result = client.send(request);
    if (!result) {
        return failure(failureOf(result, deadline));
    }
    answer.status = result->status;
    answer.contentType = result->get_header_value("Content-Type");
    return answer;
}

} // namespace

Outcome<ServiceAnswer, ExchangeFailure> sendOnce(const ServiceCall &call, const Endpoint &backend,
                                                 const BackendTls &tls, TimePoint deadline)
{
    return sendWith(*makeBackendClient(backend, tls), call, deadline);
}

/// Shared with the reader threads, which may outlive the call.
struct ServiceAttempts::Shared
{
    const ServiceCall call;
    const BackendTls tls;
    const TimePoint deadline;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Ended> ended;
};

struct ServiceAttempts::Attempt
{
    const std::unique_ptr<httplib::Client> client;
    std::atomic<bool> ended = false;
};

ServiceAttempts::ServiceAttempts(const ServiceCall &call, BackendTls tls, TimePoint deadline,
                                 ReaderThreads &threads)
    : m_shared(new Shared{call, std::move(tls), deadline, {}, {}, {}})
    , m_threads(threads)
{}

/// The library's stop() blocks while connecting, so it must not run on the caller's thread.
ServiceAttempts::~ServiceAttempts()
{
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended) {
            try {
                m_threads.start([attempt] { attempt->client->stop(); });
            } catch (const std::system_error &) {
                // No thread was left; the attempt ends by itself at the deadline.
            }
        }
    }
}

void ServiceAttempts::start(const Endpoint &backend)
{
    const std::shared_ptr<Attempt> attempt(
            new Attempt{makeBackendClient(backend, m_shared->tls), false});
    m_attempts.push_back(attempt);
    ++m_open;
    m_threads.start([shared = m_shared, attempt, backend] {
        auto outcome = sendWith(*attempt->client, shared->call, shared->deadline);
        attempt->ended = true;
        const std::lock_guard lock(shared->mutex);
        shared->ended.push_back({backend, std::move(outcome)});
        shared->changed.notify_all();
    });
}

std::optional<ServiceAttempts::Ended> ServiceAttempts::next(std::optional<TimePoint> until)
{
    std::unique_lock lock(m_shared->mutex);
    const auto hasEnded = [this] { return !m_shared->ended.empty(); };
    if (!until) {
        m_shared->changed.wait(lock, hasEnded);
    } else if (!m_shared->changed.wait_until(lock, *until, hasEnded)) {
        return std::nullopt;
    }
    Ended first = std::move(m_shared->ended.front());
    m_shared->ended.pop_front();
    --m_open;
    return first;
}

} // namespace vanilladyke
