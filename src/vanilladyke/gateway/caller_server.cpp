#include "vanilladyke/gateway/caller_server.hpp"

#include "vanilladyke/gateway/completion_handler.hpp"
#include "vanilladyke/gateway/service_handler.hpp"

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

RequestContext serviceContextOf(const httplib::Request &request, std::shared_ptr<const Fleet> fleet)
{
    constexpr const char *FirstAttempt = "1";
    RequestContext context = contextOf(request, std::move(fleet));
    context.path = request.target; // as the caller wrote it, with the query
    context.call.method = request.method;
    context.call.contentType = request.get_header_value("Content-Type");
    context.call.idempotencyKey = request.get_header_value("Idempotency-Key");
    const std::string attempt = request.get_header_value("Idempotency-Attempt");
    context.call.repeat = !attempt.empty() && attempt != FirstAttempt;
    return context;
}

} // namespace

struct CallerServer::Private
{
    Private(const FleetStore &store, Metrics &nodeMetrics, ClaimDesk *claims)
        : fleet(store)
        , metrics(nodeMetrics)
        , completions(store, nodeMetrics)
        , services(nodeMetrics, claims)
    {}

    void complete(const httplib::Request &request, httplib::Response &response);
    void serveServices();

    const FleetStore &fleet;
    Metrics &metrics;
    CompletionHandler completions;
    ServiceHandler services;
    httplib::Server server;
};

void CallerServer::Private::complete(const httplib::Request &request, httplib::Response &response)
{
    metrics.count("requests_total");
    RequestContext context = contextOf(request, fleet.current());
    response.set_header("X-Request-Id", context.id.str());
    completions(std::move(context), response);
}

void CallerServer::Private::serveServices()
{
    const std::string pattern = R"(/services/[^/]+(/.*)?)";
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        RequestContext context = serviceContextOf(request, fleet.current());
        response.set_header("X-Request-Id", context.id.str());
        services(std::move(context), response);
    };
    server.Get(pattern, handler);
    server.Post(pattern, handler);
    server.Put(pattern, handler);
    server.Patch(pattern, handler);
    server.Delete(pattern, handler);
}

CallerServer::CallerServer(const FleetStore &fleet, Metrics &metrics, ClaimDesk *claims)
    : m_private(std::make_unique<Private>(fleet, metrics, claims))
{
    httplib::Server &server = m_private->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(TrafficThreads); };
    server.set_tcp_nodelay(true);
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        m_private->complete(request, response);
    };
    server.Post("/v1/chat/completions", handler);
    server.Post("/v1/completions", handler);
    m_private->serveServices();
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
