#include "vanilladyke/gateway/caller_server.hpp"

#include "vanilladyke/gateway/completion_handler.hpp"

#include <httplib.h>

namespace vanilladyke {

namespace {

constexpr std::size_t TrafficThreads = 512;
constexpr std::string_view BearerScheme = "Bearer ";

RequestContext contextOf(const httplib::Request &request, std::shared_ptr<const Fleet> fleet)
{
    RequestContext context;
    context.id = RequestId(newUuid());
    context.path = request.path;
    const std::string authorization = request.get_header_value("Authorization");
    if (authorization.starts_with(BearerScheme)) {
        context.bearer = authorization.substr(BearerScheme.size());
    }
    context.deadlineHeader = request.get_header_value("X-Request-Deadline");
    context.body = request.body;
    context.arrivedAt = MonotonicClock::now();
    context.fleet = std::move(fleet);
    return context;
}

} // namespace

struct CallerServer::Private
{
    Private(const FleetStore &store, Metrics &nodeMetrics)
        : fleet(store)
        , metrics(nodeMetrics)
        , completions(store, nodeMetrics)
    {}

    void complete(const httplib::Request &request, httplib::Response &response);

    const FleetStore &fleet;
    Metrics &metrics;
    CompletionHandler completions;
    httplib::Server server;
};

void CallerServer::Private::complete(const httplib::Request &request, httplib::Response &response)
{
    metrics.count("requests_total");
    RequestContext context = contextOf(request, fleet.current());
    response.set_header("X-Request-Id", context.id.str());
    completions(std::move(context), response);
}

CallerServer::CallerServer(const FleetStore &fleet, Metrics &metrics)
    : m_private(std::make_unique<Private>(fleet, metrics))
{
    httplib::Server &server = m_private->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(TrafficThreads); };
    server.set_tcp_nodelay(true);
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        m_private->complete(request, response);
    };
    server.Post("/v1/chat/completions", handler);
    server.Post("/v1/completions", handler);
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = m_private->fleet.current()->bundle != nullptr;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "no bundle has been accepted yet\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_private->metrics.text(), "text/plain; version=0.0.4");
    });
}

CallerServer::~CallerServer() = default;

bool CallerServer::bind(const Endpoint &endpoint)
{
    return m_private->server.bind_to_port(endpoint.host, endpoint.port);
}

void CallerServer::run()
{
    m_private->server.listen_after_bind();
}

void CallerServer::stop()
{
    m_private->server.stop();
}

} // namespace vanilladyke
