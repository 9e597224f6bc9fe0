#include "vanilladyke/gateway/caller_server.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/gateway/completion_handler.hpp"
#include "vanilladyke/gateway/open_requests.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"
#include "vanilladyke/gateway/service_handler.hpp"

#include <httplib.h>

#include <sys/socket.h>

#include <atomic>

namespace vanilladyke {

namespace {

constexpr std::size_t TrafficThreads = 512;
constexpr std::string_view BearerScheme = "Bearer ";
constexpr std::string_view ServicesPath = "/services/";
constexpr const char *ServicePattern = R"(/services/([^/?]+)(/.*)?)";
constexpr const char *RequestIdHeader = "X-Request-Id";

enum class ServerStage { Serving, Draining, Refusing };

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
    context.lastEventId = request.get_header_value("Last-Event-ID");
    context.arrivedAt = MonotonicClock::now();
    context.fleet = std::move(fleet);
    return context;
}

/// The maximum body size in bytes; 0 without a bundle, since nothing can be served then.
std::uint64_t bodyLimit(const Fleet &fleet)
{
    return fleet.bundle ? fleet.bundle->limits.bodyBytes : 0;
}

/// Reads the body up to the limit and discards the rest, so that the caller receives the refusal
/// instead of a connection reset. @return false if the body was too large or truncated
bool readBody(const httplib::ContentReader &reader, std::uint64_t limit, std::string *body)
{
    bool fits = true;
    const bool whole = reader([&](const char *data, std::size_t size) {
        fits = fits && body->size() + size <= limit;
        if (fits) {
            body->append(data, size);
        }
        return true;
    });
    return whole && fits;
}

/// The path's second segment names the service; the rest of the target is forwarded unchanged.
ServiceCall serviceCallOf(const httplib::Request &request)
{
    ServiceCall call;
    call.service = ServiceId(request.matches[1]);
    call.method = request.method;
    const std::size_t rest = request.target.find_first_of("/?", ServicesPath.size());
    call.target = rest == std::string::npos ? "/" : request.target.substr(rest);
    if (call.target.front() == '?') {
        call.target.insert(0, 1, '/');
    }
    call.contentType = request.get_header_value("Content-Type");
    call.accept = request.get_header_value("Accept");
    call.idempotencyKey = request.get_header_value("Idempotency-Key");
    const std::string attempt = request.get_header_value("Idempotency-Attempt");
    call.repeat = !attempt.empty() && attempt != "1";
    return call;
}

/// The library parses a multipart body and doesn't expose its bytes; without the content type it
/// passes them through unchanged. The cast is safe: the server's own request object is not const.
void disableMultipartParsing(const httplib::Request &request)
{
    const_cast<httplib::Request &>(request).headers.erase("Content-Type");
}

/// By default the library lets two processes share a port, so a node started twice by mistake would
/// silently receive half of the other's callers. SO_REUSEADDR alone only allows reusing a port with
/// closed connections.
void setExclusivePort(int socket)
{
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
}

std::unique_ptr<httplib::Server> makeServer(const CallerServerOptions &options)
{
    if (options.certificate.empty()) {
        return std::make_unique<httplib::Server>();
    }
    return std::make_unique<httplib::SSLServer>(options.certificate.c_str(),
                                                options.privateKey.c_str());
}

EventKey eventKeyOf(const CallerServerOptions &options)
{
    const auto key = parseEventKey(options.streamKey);
    if (!key) {
        LogEvent("stream_key_missing", Severity::Warning)
                .field("effect", "other nodes can't verify this node's event ids");
    }
    return key ? *key : randomEventKey();
}

} // namespace

struct CallerServer::Private
{
    Private(const NodeState &node, Metrics &nodeMetrics, const CallerServerOptions &options)
        : fleet(node.fleet)
        , metrics(nodeMetrics)
        , completions(node, nodeMetrics, eventKeyOf(options), options.backends)
        , services(nodeMetrics, options.backends, options.claims)
        , ownedServer(makeServer(options))
        , server(*ownedServer)
    {}

    void route();
    void complete(const httplib::Request &request, httplib::Response &response,
                  const httplib::ContentReader &reader);
    void callService(const httplib::Request &request, httplib::Response &response,
                     const httplib::ContentReader *reader);
    [[nodiscard]] RequestContext begin(const httplib::Request &request,
                                       httplib::Response &response);
    [[nodiscard]] std::optional<Refusal> admit(RequestContext &context,
                                               const httplib::ContentReader *reader) const;
    void writeReadiness(httplib::Response &response) const;
    static void writeErrorBody(const httplib::Request &request, httplib::Response &response);

    const FleetStore &fleet;
    Metrics &metrics;
    OpenRequests openRequests;
    std::atomic<ServerStage> stage{ServerStage::Serving};
    CompletionHandler completions;
    ServiceHandler services;
    std::unique_ptr<httplib::Server> ownedServer;
    httplib::Server &server;
    int listeningSocket = -1;
};

/// Counts the request as open until the server's logger runs, after the response's last byte.
RequestContext CallerServer::Private::begin(const httplib::Request &request,
                                            httplib::Response &response)
{
    metrics.count("requests_total");
    openRequests.arrived();
    RequestContext context = contextOf(request, fleet.current());
    response.set_header(RequestIdHeader, context.id.str());
    if (stage != ServerStage::Serving) {
        // On a kept connection the caller's next request could be lost when the server closes it.
        response.set_header("Connection", "close");
    }
    return context;
}

std::optional<Refusal> CallerServer::Private::admit(RequestContext &context,
                                                    const httplib::ContentReader *reader) const
{
    const std::uint64_t limit = bodyLimit(*context.fleet);
    const bool read = reader == nullptr || readBody(*reader, limit, &context.body);
    if (stage == ServerStage::Refusing) {
        return Refusal{RefusalReason::ShuttingDown, "this node is stopping", Ran::No,
                       MonotonicClock::now()};
    }
    if (!read && context.fleet->bundle) {
        return Refusal{RefusalReason::TooLarge,
                       "the body is larger than " + std::to_string(limit) + " bytes or not whole",
                       Ran::No, std::nullopt};
    }
    return std::nullopt;
}

void CallerServer::Private::complete(const httplib::Request &request, httplib::Response &response,
                                     const httplib::ContentReader &reader)
{
    RequestContext context = begin(request, response);
    if (const auto refusal = admit(context, &reader)) {
        writeRefusal(*refusal, context.id, MonotonicClock::now(), response);
        return;
    }
    completions(std::move(context), response);
}

/// @param reader null for methods that have no body
void CallerServer::Private::callService(const httplib::Request &request,
                                        httplib::Response &response,
                                        const httplib::ContentReader *reader)
{
    RequestContext context = begin(request, response);
    ServiceCall call = serviceCallOf(request);
    disableMultipartParsing(request);
    if (const auto refusal = admit(context, reader)) {
        writeRefusal(withEarlierAttempts(*refusal, call), context.id, MonotonicClock::now(),
                     response);
        return;
    }
    services(std::move(context), std::move(call), response);
}

void CallerServer::Private::writeReadiness(httplib::Response &response) const
{
    const std::shared_ptr<const Fleet> current = fleet.current();
    std::string notReadyReason;
    if (stage != ServerStage::Serving) {
        notReadyReason = "leaving";
    } else if (!current->bundle) {
        notReadyReason = "no bundle has been accepted yet";
    } else if (!current->enginesKnown) {
        notReadyReason = "not every engine has been asked yet";
    }
    response.status = notReadyReason.empty() ? 200 : 503;
    response.set_content((notReadyReason.empty() ? "ready" : notReadyReason) + "\n", "text/plain");
}

/// Adds a body to errors of the library itself: bad requests, unknown paths, exceptions.
void CallerServer::Private::writeErrorBody(const httplib::Request &request,
                                           httplib::Response &response)
{
    if (!response.body.empty() || response.has_header(ServiceHeader)) {
        return;
    }
    const bool isServerError = response.status >= 500;
    const int status = response.status;
    const RequestId id = response.has_header(RequestIdHeader)
                                 ? RequestId(response.get_header_value(RequestIdHeader))
                                 : RequestId(newUuid());
    writeRefusal({isServerError ? RefusalReason::BackendFailed : RefusalReason::BadRequest,
                  isServerError ? "internal error"
                                : "no such path, method or form of request: " + request.path,
                  isServerError ? Ran::Unknown : Ran::No, std::nullopt},
                 id, MonotonicClock::now(), response);
    response.status = status;
}

void CallerServer::Private::route()
{
    using httplib::ContentReader;
    using httplib::Request;
    using httplib::Response;
    const auto complete = [this](const Request &request, Response &response,
                                 const ContentReader &reader) {
        this->complete(request, response, reader);
    };
    server.Post("/v1/chat/completions", complete);
    server.Post("/v1/completions", complete);
    const auto withBody = [this](const Request &request, Response &response,
                                 const ContentReader &reader) {
        callService(request, response, &reader);
    };
    const auto withoutBody = [this](const Request &request, Response &response) {
        callService(request, response, nullptr);
    };
    server.Post(ServicePattern, withBody);
    server.Put(ServicePattern, withBody);
    server.Patch(ServicePattern, withBody);
    server.Get(ServicePattern, withoutBody);
    server.Delete(ServicePattern, withoutBody);
    server.Options(ServicePattern, withoutBody);
    server.Get("/healthz", [](const Request &, Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz",
               [this](const Request &, Response &response) { writeReadiness(response); });
    server.Get("/metrics", [this](const Request &, Response &response) {
        response.set_content(metrics.text(), "text/plain; version=0.0.4");
    });
    server.set_error_handler(
            [](const Request &request, Response &response) { writeErrorBody(request, response); });
    server.set_logger([this](const Request &, const Response &response) {
        if (response.has_header(RequestIdHeader)) {
            openRequests.answered();
        }
    });
}

CallerServer::CallerServer(const NodeState &node, Metrics &metrics,
                           const CallerServerOptions &options)
    : m_private(std::make_unique<Private>(node, metrics, options))
{
    m_private->server.new_task_queue = [] { return new httplib::ThreadPool(TrafficThreads); };
    m_private->server.set_tcp_nodelay(true);
    m_private->server.set_socket_options([this](int socket) {
        setExclusivePort(socket);
        m_private->listeningSocket = socket;
    });
    m_private->route();
}

CallerServer::~CallerServer() = default;

bool CallerServer::tlsUsable() const
{
    return m_private->server.is_valid();
}

bool CallerServer::bind(const Endpoint &endpoint)
{
    if (!m_private->server.bind_to_port(endpoint.host, endpoint.port)) {
        return false;
    }
    // The library listens with a backlog of 5. When more callers than that connect at once, the
    // kernel drops their SYNs, so that they wait for a second, and resets connections that it
    // accepted with a SYN cookie. A second listen() changes only the backlog; the kernel lowers it
    // to its own limit.
    return ::listen(m_private->listeningSocket, SOMAXCONN) == 0;
}

void CallerServer::run()
{
    m_private->server.listen_after_bind();
}

void CallerServer::beginDrain()
{
    m_private->stage = ServerStage::Draining;
}

void CallerServer::refuseNew()
{
    m_private->stage = ServerStage::Refusing;
}

bool CallerServer::waitUntilIdle(TimePoint deadline)
{
    return m_private->openRequests.waitForNone(deadline);
}

void CallerServer::abortStreams()
{
    m_private->completions.abortStreams();
}

void CallerServer::stop()
{
    m_private->server.stop();
}

} // namespace vanilladyke
