#include "vanilladyke/gateway/stream_canceller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/time.hpp"

#include <httplib.h>

namespace vanilladyke {

namespace {

constexpr std::size_t MostWaiting = 1024;
/// A frozen engine must not keep the cancels of the others waiting for long.
constexpr Duration AnswerWithin = std::chrono::milliseconds(300);

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
        if (m_orders.size() >= MostWaiting) {
            m_orders.pop_front();
        }
        m_orders.push_back({engine, stream});
    }
    m_filled.notify_one();
}

void StreamCanceller::run(const std::stop_token &stop)
{
    while (true) {
        std::unique_lock lock(m_mutex);
        if (!m_filled.wait(lock, stop, [this] { return !m_orders.empty(); })) {
            return;
        }
        const Order order = std::move(m_orders.front());
        m_orders.pop_front();
        lock.unlock();
        const auto client = makeBackendClient(order.engine, m_tls);
        client->set_connection_timeout(AnswerWithin);
        client->set_read_timeout(AnswerWithin);
        const httplib::Result result =
                client->Post("/v1/streams/" + order.stream.str() + "/cancel");
        LogEvent("stream_cancelled")
                .field("stream", order.stream.str())
                .field("engine", order.engine.str())
                .field("status", result ? result->status : 0);
    }
}

} // namespace vanilladyke
