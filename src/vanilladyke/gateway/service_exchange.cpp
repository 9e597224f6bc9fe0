#include "vanilladyke/gateway/service_exchange.hpp"

#include "vanilladyke/gateway/reader_threads.hpp"
#include "vanilladyke/gateway/service_connection.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace vanilladyke {

Outcome<ServiceAnswer, ExchangeFailure> sendOnce(const ServiceCall &call, const Endpoint &backend,
                                                 const BackendTls &tls, TimePoint deadline)
{
    return ServiceConnection(backend, tls).exchange(call, deadline);
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
    ServiceConnection connection;
    std::atomic<bool> ended = false;
};

ServiceAttempts::ServiceAttempts(const ServiceCall &call, BackendTls tls, TimePoint deadline,
                                 ReaderThreads &threads)
    : m_shared(new Shared{call, std::move(tls), deadline, {}, {}, {}})
    , m_threads(threads)
{}

ServiceAttempts::~ServiceAttempts()
{
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended) {
            attempt->connection.cancel();
        }
    }
}

void ServiceAttempts::start(const Endpoint &backend)
{
    const std::shared_ptr<Attempt> attempt(new Attempt{{backend, m_shared->tls}, false});
    m_attempts.push_back(attempt);
    ++m_open;
    m_threads.start([shared = m_shared, attempt, backend] {
        auto outcome = attempt->connection.exchange(shared->call, shared->deadline);
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
