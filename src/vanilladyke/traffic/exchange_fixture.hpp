#pragma once

#include "vanilladyke/traffic/scripted_backend.hpp"

#include <gtest/gtest.h>

/// Fixture of the tests that run requests through the traffic core.
namespace vanilladyke {

namespace http = boost::beast::http;

using std::chrono::milliseconds;
using NextAction = ScriptedAnswer::NextAction;

inline std::string answer(const std::string &id, const std::string &body, int status = 200,
                          const std::string &extra = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nStamp: s\r\n" + extra
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string eventChunk(int number)
{
    const std::string event = "id: " + std::to_string(number) + "\ndata: d\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

/// The retry budget of a node that has run for longer than the window.
inline FleetRetryBudget retryBudgetInUse(const FleetRetryLimits &limits)
{
    FleetRetryBudget budget(MonotonicClock::now() - 2 * limits.window);
    budget.setLimits(limits);
    return budget;
}

/// Runs the traffic core with one caller and several scripted backend servers on one thread.
class ExchangeTest : public ::testing::Test
{
protected:
    ExchangeTest()
        : m_state(m_context, testDialect(), settings(), 1)
        , m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        m_state.configAge = [this] { return m_configAge; };
        m_state.retryBudget = retryBudgetInUse({0.2, 1000, std::chrono::seconds(10)});
        m_state.ticker.start();
        setRoute(RequestKind::Safe, false);
    }

    static TrafficSettings settings()
    {
        TrafficSettings result;
        result.dataCentre = DataCentreId("here");
        return result;
    }

    void setRoute(RequestKind kind, bool isResumable, Duration timeout = std::chrono::seconds(5),
                  Duration target = std::chrono::seconds(2), int mostBackends = 2)
    {
        RoutingConfig config;
        Route route;
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/a/";
        route.kind = kind;
        route.isResumable = isResumable;
        route.timeout = timeout;
        route.targetLatency = target;
        route.longestPause = m_longestPause;
        route.mostBackends = mostBackends;
        route.split = {{ServiceId("s"), 1}};
        config.routes = {route};
        config.customers = {{CustomerId("c"), {"k"}, std::nullopt, false}};
        config.limits = m_limits;
        m_state.table = std::make_shared<const RouteTable>(config);
    }

    ScriptedBackend &addBackend(ScriptedBackend::Script script)
    {
        m_backends.push_back(std::make_unique<ScriptedBackend>(m_context, std::move(script)));
        BackendEntry entry;
        entry.id = EngineId("e" + std::to_string(m_backends.size()));
        entry.service = ServiceId("s");
        entry.endpoint = m_backends.back()->endpoint();
        // The first server is in the node's data centre, which makes the order of tries
        // deterministic.
        entry.dataCentre = DataCentreId(m_backends.size() == 1 ? "here" : "there");
        entry.slots = 8;
        m_entries.push_back(entry);
        m_state.tracker.setBackends(m_entries);
        return *m_backends.back();
    }

    static std::string request(const std::string &id, const std::string &path = "/a/x")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: " + id
               + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    void connect()
    {
        m_caller = std::make_unique<Tcp::socket>(m_context);
        m_caller->connect(m_acceptor.local_endpoint());
        std::make_shared<CallerSession>(m_state, m_acceptor.accept())->start();
    }

    void send(const std::string &bytes) { asio::write(*m_caller, asio::buffer(bytes)); }

    /// Reads an answer from the caller's connection. @return its status; 0 if it is incomplete
    int receive(std::string *body = nullptr)
    {
        http::response_parser<http::string_body> parser;
        ErrorCode error;
        bool isDone = false;
        http::async_read(*m_caller, m_buffer, parser, [&](const ErrorCode &failed, std::size_t) {
            error = failed;
            isDone = true;
        });
        runUntil([&] { return isDone; });
        m_body = parser.get().body();
        if (body != nullptr) {
            *body = m_body;
        }
        return error ? 0 : static_cast<int>(parser.get().result_int());
    }

    int ask(const std::string &id, std::string *body = nullptr)
    {
        connect();
        send(request(id));
        return receive(body);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            m_context.run_one();
        }
    }

    asio::io_context m_context;
    TrafficState m_state;
    Tcp::acceptor m_acceptor;
    Duration m_configAge{};
    Duration m_longestPause = std::chrono::seconds(1);
    CallerLimits m_limits;
    std::vector<std::unique_ptr<ScriptedBackend>> m_backends;
    std::vector<BackendEntry> m_entries;
    std::unique_ptr<Tcp::socket> m_caller;
    boost::beast::flat_buffer m_buffer;
    std::string m_body;
};

inline ScriptedAnswer good(const ReceivedRequest &received)
{
    return {answer(received.fields.at("Id"), "body"), NextAction::KeepOpen};
}

inline ScriptedAnswer refused(const ReceivedRequest &received)
{
    return {answer(received.fields.at("Id"), "", 503, "Refused: 1\r\n"), NextAction::KeepOpen};
}

} // namespace vanilladyke
