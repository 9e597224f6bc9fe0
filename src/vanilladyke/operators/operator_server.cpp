#include "vanilladyke/operators/operator_server.hpp"

#include "vanilladyke/base/log.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

using nlohmann::json;

constexpr std::size_t OperatorThreads = 16;
constexpr std::size_t MaxBodyBytes = MostRecordBytes;
constexpr Duration PublishTimeout = std::chrono::seconds(10);
constexpr std::string_view BearerScheme = "Bearer ";
constexpr const char *JsonType = "application/json";

int statusOf(PublishOutcome outcome)
{
    constexpr std::array<int, 5> Statuses{200, 409, 422, 504, 503};
    return Statuses.at(static_cast<std::size_t>(outcome));
}

json toJson(const PublishResult &result)
{
    json errors = json::array();
    for (const FieldError &error : result.errors) {
        errors.push_back(
                {{"field", error.field}, {"value", error.value}, {"reason", error.reason}});
    }
    return {{"outcome", toString(result.outcome)},
            {"version", result.version},
            {"digest", result.digest},
            {"accepted_version", result.acceptedVersion},
            {"detail", result.detail},
            {"errors", std::move(errors)}};
}

std::string_view nameOf(Phase phase)
{
    constexpr std::array<std::string_view, 3> Names{"starting", "ready", "leaving"};
    return Names.at(static_cast<std::size_t>(phase));
}

json toJson(const Member &member)
{
    return {{"node", member.node.str()},
            {"data_centre", member.dataCentre.str()},
            {"phase", nameOf(member.phase)},
            {"live", member.liveness != Liveness::Dead},
            {"bundle_version", member.bundleVersion}};
}

void answerJson(httplib::Response &response, const json &body)
{
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), JsonType);
}

} // namespace

std::string notReadyReason(const Fleet &fleet, const BundleStatus &status)
{
    if (fleet.leaving) {
        return "the node is shutting down";
    }
    if (fleet.bundle) {
        return fleet.enginesKnown ? "" : "not every engine has been asked yet";
    }
    return "no bundle has been accepted yet"
           + (status.logError.empty() ? std::string() : ": " + status.logError);
}

struct OperatorServer::Private
{
    explicit Private(OperatorContext operatorContext)
        : context(std::move(operatorContext))
    {}

    using Handler =
            std::function<void(const OperatorKey &, const httplib::Request &, httplib::Response &)>;

    [[nodiscard]] httplib::Server::Handler requireKey(Handler handler) const;
    [[nodiscard]] const OperatorKey *identify(const httplib::Request &request) const;
    void addOperatorRoutes();
    void addPublicRoutes();
    void publish(const OperatorKey &key, const std::string &body,
                 httplib::Response &response) const;
    [[nodiscard]] json status() const;
    [[nodiscard]] std::string metricsText() const;

    OperatorContext context;
    httplib::Server server;
};

const OperatorKey *OperatorServer::Private::identify(const httplib::Request &request) const
{
    const std::string authorization = request.get_header_value("Authorization");
    if (!authorization.starts_with(BearerScheme)) {
        return nullptr;
    }
    const std::string digest = digestOf(authorization.substr(BearerScheme.size()));
    const auto found = std::find_if(context.keys.begin(), context.keys.end(),
                                    [&](const OperatorKey &key) { return key.digest == digest; });
    return found == context.keys.end() ? nullptr : &*found;
}

httplib::Server::Handler OperatorServer::Private::requireKey(Handler handler) const
{
    return [this, handler = std::move(handler)](const httplib::Request &request,
                                                httplib::Response &response) {
        const OperatorKey *key = identify(request);
        if (key == nullptr) {
            LogEvent("operator_refused", Severity::Warning)
                    .field("path", request.path)
                    .field("from", request.remote_addr);
            response.status = 401;
            answerJson(response, {{"error", "unknown operator key"}});
            return;
        }
        handler(*key, request, response);
    };
}

void OperatorServer::Private::publish(const OperatorKey &key, const std::string &body,
                                      httplib::Response &response) const
{
    const PublishResult result = publishBundle(body, context.publishing, context.board,
                                               MonotonicClock::now() + PublishTimeout);
    LogEvent("publish")
            .field("operator", key.id)
            .field("outcome", toString(result.outcome))
            .field("version", result.version)
            .field("digest", result.digest)
            .field("detail", result.detail);
    response.status = statusOf(result.outcome);
    answerJson(response, toJson(result));
}

json OperatorServer::Private::status() const
{
    const BundleStatus bundles = context.board.status();
    const std::shared_ptr<const Fleet> fleet = context.fleet.current();
    json nodes = json::array();
    for (const Member &member : fleet->members) {
        nodes.push_back(toJson(member));
    }
    const std::string reason = notReadyReason(*fleet, bundles);
    return {{"node", context.node.str()},
            {"ready", reason.empty()},
            {"not_ready_reason", reason},
            {"version", fleet->bundle ? fleet->bundle->version : 0},
            {"digest", bundles.accepted ? bundles.accepted->entry.digest : ""},
            {"log_reachable", bundles.logReachable},
            {"log_trouble", bundles.logError},
            {"nodes", std::move(nodes)}};
}

/// Metrics of the node, and those of its bundle computed at the time of the call.
std::string OperatorServer::Private::metricsText() const
{
    const BundleStatus bundles = context.board.status();
    const std::shared_ptr<const Fleet> fleet = context.fleet.current();
    const auto gauge = [](const std::string &name, std::uint64_t value) {
        return "vanilladyke_" + name + ' ' + std::to_string(value) + '\n';
    };
    return context.metrics.text()
           + gauge("bundle_version", fleet->bundle ? fleet->bundle->version : 0)
           + gauge("log_reachable", bundles.logReachable ? 1 : 0)
           + gauge("live_nodes", fleet->liveNodes)
           + gauge("ready", notReadyReason(*fleet, bundles).empty() ? 1 : 0);
}

void OperatorServer::Private::addOperatorRoutes()
{
    server.Post("/operator/v1/bundles",
                requireKey([this](const OperatorKey &key, const httplib::Request &request,
                                  httplib::Response &response) {
                    publish(key, request.body, response);
                }));
    server.Get("/operator/v1/status",
               requireKey([this](const OperatorKey &, const httplib::Request &,
                                 httplib::Response &response) { answerJson(response, status()); }));
    server.Get("/operator/v1/history",
               requireKey([this](const OperatorKey &, const httplib::Request &,
                                 httplib::Response &response) {
                   response.set_content(writeHistory(context.board.status().history), JsonType);
               }));
    server.Get("/operator/v1/bundle",
               requireKey([this](const OperatorKey &, const httplib::Request &,
                                 httplib::Response &response) {
                   const BundleStatus bundles = context.board.status();
                   response.status = bundles.accepted ? 200 : 404;
                   response.set_content(
                           bundles.accepted ? writeSignedBundle(bundles.accepted->bundle) : "{}",
                           JsonType);
               }));
    server.Get("/operator/v1/state",
               requireKey([this](const OperatorKey &, const httplib::Request &,
                                 httplib::Response &response) {
                   response.set_content(context.stateDump ? context.stateDump() : "{}", JsonType);
               }));
}

void OperatorServer::Private::addPublicRoutes()
{
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(metricsText(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const std::string reason = notReadyReason(*context.fleet.current(), context.board.status());
        response.status = reason.empty() ? 200 : 503;
        response.set_content((reason.empty() ? "ready" : reason) + "\n", "text/plain");
    });
}

OperatorServer::OperatorServer(OperatorContext context)
    : m_private(std::make_unique<Private>(std::move(context)))
{
    httplib::Server &server = m_private->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(OperatorThreads); };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(MaxBodyBytes);
    m_private->addOperatorRoutes();
    m_private->addPublicRoutes();
}

OperatorServer::~OperatorServer() = default;

bool OperatorServer::bind(const Endpoint &endpoint)
{
    return m_private->server.bind_to_port(endpoint.host, endpoint.port);
}

void OperatorServer::run()
{
    m_private->server.listen_after_bind();
}

void OperatorServer::stop()
{
    m_private->server.stop();
}

} // namespace vanilladyke
