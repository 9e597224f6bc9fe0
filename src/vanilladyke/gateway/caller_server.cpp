#include "vanilladyke/gateway/caller_server.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/policy/placement.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

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

void writeRefusal(const Refusal &refusal, httplib::Response &response)
{
    response.status = httpStatus(refusal.reason);
    const nlohmann::json body{{"error",
                               {{"reason", toString(refusal.reason)},
                                {"message", refusal.detail},
                                {"ran", toString(refusal.ran)}}}};
    response.set_content(body.dump(), "application/json");
}

void logPlacement(const RequestContext &context, const Placement &placement)
{
    LogEvent event("placement");
    event.field("request", context.id.str())
            .field("customer", context.customer.str())
            .field("model", context.model.str())
            .field("prompt_tokens", context.promptTokens)
            .field("candidates", placement.candidates.size())
            .field("reason", placement.reason);
    if (placement.winner) {
        event.field("engine", context.fleet->engines[placement.winner->engine].id.str())
                .field("cost", placement.winner->cost);
    }
}

EngineCall callOf(const RequestContext &context, const Placement &placement)
{
    EngineCall call;
    call.engine = context.fleet->engines[placement.winner->engine];
    call.weights = context.weights;
    call.request = context.id;
    call.stream = StreamId(newUuid());
    call.attempt = newUuid();
    call.path = context.path;
    call.body = context.engineBody;
    call.chain = context.chain;
    return call;
}

} // namespace

struct CallerServer::Private
{
    Private(const FleetStore &store, Metrics &nodeMetrics)
        : fleet(store)
        , metrics(nodeMetrics)
    {}

    void complete(const httplib::Request &request, httplib::Response &response);
    void stream(const std::shared_ptr<EngineExchange> &exchange, StreamFrame first,
                Duration silence, httplib::Response &response) const;
    void collect(EngineExchange &exchange, const StreamFrame &first, Duration silence,
                 httplib::Response &response) const;

    const FleetStore &fleet;
    Metrics &metrics;
    httplib::Server server;
    FilterChain<IdentifyCustomer, ParseCompletion, SetDeadline, CutPrefixes> chain{{}, {}, {}, {}};
};

void CallerServer::Private::complete(const httplib::Request &request, httplib::Response &response)
{
    RequestContext context = contextOf(request, fleet.current());
    response.set_header("X-Request-Id", context.id.str());
    metrics.count("requests_total");
    if (const FilterVerdict refusal = chain(context)) {
        writeRefusal(*refusal, response);
        return;
    }
    Random random(entropySeed());
    const PlacementRequest wanted{context.customer,
                                  context.model,
                                  context.chain,
                                  context.promptTokens,
                                  context.answerTokens,
                                  context.firstTokenDeadline,
                                  {}};
    const Placement placement = place(wanted, *context.fleet, MonotonicClock::now(), random);
    logPlacement(context, placement);
    if (!placement.winner) {
        writeRefusal({RefusalReason::NoBackend, "no engine serves the model", Ran::No, {}},
                     response);
        return;
    }
    ExchangeState state;
    state.apply(ExchangeEvent::SendStarted);
    auto exchange = std::make_shared<EngineExchange>(callOf(context, placement));
    const auto first = exchange->next(context.firstTokenDeadline);
    if (!first) {
        state.apply(eventOf(first.error().error));
        writeRefusal({RefusalReason::BackendFailed, first.error().detail, state.ran(), {}},
                     response);
        return;
    }
    metrics.observe("first_token_seconds", MonotonicClock::now() - context.arrivedAt);
    const Duration silence = context.fleet->bundle->limits.streamSilence;
    if (context.streamed) {
        stream(exchange, *first, silence, response);
    } else {
        collect(*exchange, *first, silence, response);
    }
}

void CallerServer::Private::stream(const std::shared_ptr<EngineExchange> &exchange,
                                   StreamFrame first, Duration silence,
                                   httplib::Response &response) const
{
    auto frame = std::make_shared<StreamFrame>(std::move(first));
    response.set_chunked_content_provider(
            "text/event-stream", [exchange, frame, silence](std::size_t, httplib::DataSink &sink) {
                const std::string data = frame->end ? "[DONE]" : frame->data;
                const std::string event = "data: " + data + "\n\n";
                if (!sink.write(event.data(), event.size())) {
                    return false;
                }
                if (frame->end) {
                    sink.done();
                    return true;
                }
                auto next = exchange->next(MonotonicClock::now() + silence);
                if (!next) {
                    return false;
                }
                *frame = std::move(*next);
                return true;
            });
}

void CallerServer::Private::collect(EngineExchange &exchange, const StreamFrame &first,
                                    Duration silence, httplib::Response &response) const
{
    std::string text;
    StreamFrame frame = first;
    while (!frame.end) {
        const nlohmann::json json = nlohmann::json::parse(frame.data);
        const auto &choice = json.at("choices").at(0);
        text += choice.contains("delta") ? choice["delta"].value("content", "")
                                         : choice.value("text", "");
        auto next = exchange.next(MonotonicClock::now() + silence);
        if (!next) {
            writeRefusal({RefusalReason::BackendFailed, next.error().detail, Ran::Unknown, {}},
                         response);
            return;
        }
        frame = std::move(*next);
    }
    const nlohmann::json answer{{"object", "chat.completion"},
                                {"choices",
                                 {{{"index", 0},
                                   {"message", {{"role", "assistant"}, {"content", text}}},
                                   {"finish_reason", "stop"}}}}};
    response.set_content(answer.dump(), "application/json");
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
