#include "vanilladyke/traffic/traffic_server.hpp"

#include "vanilladyke/base/log.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

namespace vanilladyke {

namespace http = boost::beast::http;

namespace {

/// Delay after a failed accept: without file descriptors left, retrying at once would spin until
/// other connections are closed.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);
constexpr Duration StatusTimeout = std::chrono::seconds(5);
constexpr std::size_t AcceptsBetweenCleanups = 256;
/// Bodies that wait for their share of the memory stay in the receive buffers, which would grow to
/// megabytes each. Set at the listening socket, since a connection's window is agreed on as it
/// opens.
constexpr int ReceiveBufferBytes = 128 * 1024;

} // namespace

TrafficServer::TrafficServer(TrafficState &state, ListenSettings settings)
    : m_state(state)
    , m_settings(std::move(settings))
    , m_callers(state.context)
    , m_ready(state.context)
    , m_metrics(state.context)
    , m_relays(state.context)
{}

bool TrafficServer::open(Tcp::acceptor &acceptor, const Endpoint &endpoint, std::string *error)
{
    ErrorCode failed;
    const Tcp::endpoint address = toAsio(endpoint, failed);
    if (!failed) {
        acceptor.open(address.protocol(), failed);
    }
    if (!failed) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), failed);
        acceptor.bind(address, failed);
        ErrorCode ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
    }
    if (!failed) {
        acceptor.listen(Tcp::acceptor::max_listen_connections, failed);
    }
    if (failed) {
        *error = endpoint.str() + ": " + failed.message();
    }
    return !failed;
}

std::optional<std::string> TrafficServer::listen()
{
    std::string error;
    if (!open(m_callers, m_settings.callers, &error) || !open(m_ready, m_settings.ready, &error)
        || (m_settings.metrics && !open(m_metrics, *m_settings.metrics, &error))
        || (m_settings.relays && !open(m_relays, *m_settings.relays, &error))) {
        return error;
    }
    asio::co_spawn(m_state.context, acceptSessions(m_callers, SessionKind::Caller), asio::detached);
    if (m_settings.relays) {
        asio::co_spawn(m_state.context, acceptSessions(m_relays, SessionKind::Relay),
                       asio::detached);
    }
    asio::co_spawn(m_state.context, acceptStatusConnections(m_ready), asio::detached);
    if (m_settings.metrics) {
        asio::co_spawn(m_state.context, acceptStatusConnections(m_metrics), asio::detached);
    }
    return std::nullopt;
}

bool TrafficServer::isReady() const
{
    if (m_state.isDraining || m_state.table == nullptr || m_state.tracker.size() == 0) {
        return false;
    }
    return !m_state.table->needsKeys() || m_state.isFresh();
}

asio::awaitable<void> TrafficServer::acceptSessions(Tcp::acceptor &acceptor, SessionKind kind)
{
    for (;;) {
        Tcp::socket socket(m_state.context);
        ErrorCode error;
        co_await acceptor.async_accept(socket, redirectError(error));
        if (!acceptor.is_open()) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(m_state.context, AcceptRetryDelay);
            co_await pause.async_wait(redirectError(error));
            continue;
        }
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        const auto session = std::make_shared<CallerSession>(m_state, std::move(socket), kind);
        m_sessions.emplace_back(session);
        if (++m_accepted % AcceptsBetweenCleanups == 0) {
            m_sessions.remove_if([](const auto &each) { return each.expired(); });
        }
        session->start();
    }
}

asio::awaitable<void> TrafficServer::acceptStatusConnections(Tcp::acceptor &acceptor)
{
    for (;;) {
        Tcp::socket socket(m_state.context);
        ErrorCode error;
        co_await acceptor.async_accept(socket, redirectError(error));
        if (!acceptor.is_open()) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(m_state.context, AcceptRetryDelay);
            co_await pause.async_wait(redirectError(error));
            continue;
        }
        asio::co_spawn(m_state.context, serveStatus(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> TrafficServer::serveStatus(Tcp::socket socket)
{
    const auto deadlineTimer = std::make_shared<DeadlineTimer>();
    m_state.ticker.add(deadlineTimer);
    deadlineTimer->onDue = [&socket] {
        ErrorCode ignored;
        socket.close(ignored);
    };
    boost::beast::flat_buffer buffer;
    bool keepsOpen = true;
    while (keepsOpen) {
        deadlineTimer->dueAt = MonotonicClock::now() + StatusTimeout;
        http::request<http::empty_body> request;
        ErrorCode error;
        co_await http::async_read(socket, buffer, request, redirectError(error));
        if (error) {
            break;
        }
        keepsOpen = request.keep_alive();
        const std::string target(request.target());
        std::string body;
        int status = 404;
        if (target == m_settings.readyPath) {
            status = isReady() ? 200 : 503;
        } else if (m_settings.metrics && target == "/metrics") {
            status = 200;
            const TimePoint now = MonotonicClock::now();
            m_state.metrics.gauge("requests_quarantined",
                                  static_cast<double>(m_state.quarantine.held(now)));
            m_state.metrics.gauge("engines_limited",
                                  static_cast<double>(m_state.tracker.limitedEngines()));
            const BufferGate &buffers = *m_state.buffers;
            m_state.metrics.gauge("buffers_held_bytes",
                                  static_cast<double>(buffers.budget().held()));
            m_state.metrics.gauge("bodies_waiting",
                                  static_cast<double>(buffers.budget().waiting()));
            m_state.metrics.gauge("bodies_waited", static_cast<double>(buffers.waited()));
            body = m_state.metrics.text() + (metricsText ? metricsText() : std::string());
        }
        std::string answer = "HTTP/1.1 " + std::to_string(status) + " "
                             + std::string(http::obsolete_reason(static_cast<http::status>(status)))
                             + "\r\nContent-Type: text/plain\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await asio::async_write(socket, asio::buffer(answer), redirectError(error));
        if (error) {
            break;
        }
    }
}

void TrafficServer::beginDrain()
{
    m_state.isDraining = true;
}

void TrafficServer::stopAccepting()
{
    m_state.isShuttingDown = true;
    ErrorCode ignored;
    m_callers.close(ignored);
    m_relays.close(ignored);
    for (const auto &each : m_sessions) {
        if (const auto session = each.lock()) {
            session->closeWhenIdle();
        }
    }
}

} // namespace vanilladyke
