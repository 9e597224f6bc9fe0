#include "vanilladyke/traffic/backend_pool.hpp"

#include <algorithm>

namespace vanilladyke {

BackendConnection::~BackendConnection()
{
    close();
}

void BackendConnection::close()
{
    if (isOpen) {
        isOpen = false;
        --*openCount;
    }
    ErrorCode ignored;
    socket.close(ignored);
}

BackendPool::BackendPool(asio::io_context &context, Ticker &ticker)
    : m_context(context)
    , m_ticker(ticker)
{}

BackendConnectionPtr BackendPool::take(const EngineId &engine, TimePoint now)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return nullptr;
    }
    std::vector<BackendConnectionPtr> &idle = found->second.idle;
    while (!idle.empty()) {
        BackendConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isOpen && connection->usableUntil && now < *connection->usableUntil) {
            connection->isIdle = false;
            connection->isReused = true;
            ++connection->useCount;
            ErrorCode ignored;
            connection->socket.cancel(ignored);
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

asio::awaitable<BackendConnectionPtr> BackendPool::connect(EngineId engine, Endpoint endpoint,
                                                           ErrorCode *why)
{
    auto connection = std::make_shared<BackendConnection>(m_context, engine);
    ErrorCode error;
    const Tcp::endpoint address = toAsio(endpoint, error);
    if (error) {
        co_return nullptr;
    }
    m_ticker.add(connection->deadlineTimer);
    std::weak_ptr<BackendConnection> weak = connection;
    connection->deadlineTimer->onDue = [weak] {
        if (const auto due = weak.lock()) {
            due->close();
        }
    };
    const TimePoint startedAt = MonotonicClock::now();
    connection->deadlineTimer->dueAt = startedAt + ConnectTimeout;
    connection->openCount = m_engines[engine].open;
    connection->isOpen = true;
    ++*connection->openCount;
    ++m_connectionsOpened;
    co_await connection->socket.async_connect(address, redirectError(error));
    connection->deadlineTimer->dueAt.reset();
    if (!connection->isOpen) {
        error = asio::error::timed_out;
    }
    onConnectEnded(connection->engine, error, MonotonicClock::now() - startedAt);
    if (error) {
        connection->close();
        if (why != nullptr) {
            *why = error;
        }
        co_return nullptr;
    }
    ErrorCode ignored;
    connection->socket.set_option(Tcp::no_delay(true), ignored);
    co_return connection;
}

void BackendPool::putBack(const BackendConnectionPtr &connection, std::optional<Duration> keepAlive,
                          TimePoint now)
{
    if (!connection->isOpen) {
        return;
    }
    const Duration life = keepAlive.value_or(DefaultKeepAlive) - KeepAliveMargin;
    connection->usableUntil = now + life;
    connection->isIdle = true;
    m_engines[connection->engine].idle.push_back(connection);
    monitorIdle(connection);
}

void BackendPool::monitorIdle(const BackendConnectionPtr &connection)
{
    std::weak_ptr<BackendConnection> weak = connection;
    connection->socket.async_wait(Tcp::socket::wait_read, [weak, useCount = connection->useCount](
                                                                  const ErrorCode &error) {
        const auto idle = weak.lock();
        if (idle && !error && idle->isIdle && idle->useCount == useCount) {
            idle->close(); // closed by the server, or data that belongs to no request
        }
    });
}

int BackendPool::openConnections(const EngineId &engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : *found->second.open;
}

void BackendPool::closeStale(const std::function<bool(const EngineId &)> &isKnown, TimePoint now)
{
    for (auto each = m_engines.begin(); each != m_engines.end();) {
        const bool known = isKnown(each->first);
        std::erase_if(each->second.idle, [&](const BackendConnectionPtr &connection) {
            const bool over = !known || !connection->isOpen || now >= *connection->usableUntil;
            if (over) {
                connection->isIdle = false;
                connection->close();
            }
            return over;
        });
        const bool forget = !known && *each->second.open == 0;
        each = forget ? m_engines.erase(each) : std::next(each);
    }
}

} // namespace vanilladyke
