#include "vanilladyke/gateway/stream_canceller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/time.hpp"

#include <httplib.h>

namespace vanilladyke {

namespace {

constexpr std::size_t MaxQueued = 1024;
/// Short, so that a frozen engine doesn't delay cancellations at other engines for long.
constexpr Duration CancelTimeout = std::chrono::milliseconds(300);

} // namespace

StreamCanceller::StreamCanceller(BackendTls tls)
    : m_tls(std::move(tls))
{
    m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
}

StreamCanceller::~StreamCanceller()
{
    m_thread.request_stop();
    m_thread.join();
}

void StreamCanceller::cancel(const Endpoint &engine, const StreamId &stream)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= MaxQueued) {
            m_queue.pop_front();
        }
        m_queue.push_back({engine, stream});
    }
    m_queued.notify_one();
}

void StreamCanceller::run(const std::stop_token &stop)
{
    while (true) {
        std::unique_lock lock(m_mutex);
        if (!m_queued.wait(lock, stop, [this] { return !m_queue.empty(); })) {
            return;
        }
        const Cancellation cancellation = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        const auto client = makeBackendClient(cancellation.engine, m_tls);
        client->set_connection_timeout(CancelTimeout);
        client->set_read_timeout(CancelTimeout);
        const httplib::Result result =
                client->Post("/v1/streams/" + cancellation.stream.str() + "/cancel");
        LogEvent("stream_cancelled")
                .field("stream", cancellation.stream.str())
                .field("engine", cancellation.engine.str())
                .field("status", result ? result->status : 0);
    }
}

} // namespace vanilladyke
