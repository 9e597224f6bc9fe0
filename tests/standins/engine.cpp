// A model engine's stand-in: the HTTP side. engine_batch runs the streams, engine_cache is the
// prefix cache, engine_tokens makes the answers.
//
// Completions take these headers: X-Request-Id, X-Stream-Id, X-Attempt-Id, X-Prefix-Chain,
// X-Priority (0 first), X-Resume-Offset (events of the answer that the reader has) and
// X-Answer-Offset (tokens of the answer that the prompt ends with). Event ids are "ATTEMPT:OFFSET";
// the usage comes one offset after the last token, then the end marker. A resume of a stream that
// the engine doesn't know gets 404, as nothing could be resumed without the answer so far.
#include "engine_batch.hpp"
#include "engine_tokens.hpp"

#include <httplib.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

using namespace standin;

namespace {

constexpr std::size_t Threads = 512;
constexpr Milliseconds SignOfLife{100};
constexpr Milliseconds ForGood = std::chrono::hours(24);

/// Faults that concern connections, each counted down as it strikes.
struct Faults
{
    std::uint32_t cross = 0; ///< answers that belong to the exchange before
    std::uint32_t stray = 0; ///< frames of the exchange before, put in among the right ones
    std::uint32_t cutAt = 0;
    std::uint32_t cutCount = 0;
    std::string crashUnder; ///< text in a request's body; empty: none
    Milliseconds crashDown{300};
};

/// One connection that reads a stream.
struct Reader
{
    StreamPtr stream;
    std::string attempt;
    std::uint32_t offset = 0;
};

class Engine
{
public:
    Engine(const Options &options, const Weights &held)
        : m_options(options)
        , m_batch(options, held)
    {}

    void install(httplib::Server &server);
    std::function<void(Milliseconds)> refuse; ///< closes the port for a time

private:
    void complete(const httplib::Request &request, httplib::Response &response);
    StreamPtr streamOf(const httplib::Request &request, httplib::Response &response);
    bool serve(Reader &reader, httplib::DataSink &sink);
    [[nodiscard]] std::string eventOf(const Reader &reader, std::uint32_t offset) const;
    void order(const httplib::Request &request, httplib::Response &response);
    void setFaults(const nlohmann::json &faults);
    void waitWhileFrozen();

    Options m_options;
    Batch m_batch;
    Faults m_faults;
    Reader m_last; ///< the exchange before
};

std::uint32_t numberHeader(const httplib::Request &request, const char *name)
{
    return static_cast<std::uint32_t>(std::stoul("0" + request.get_header_value(name)));
}

Chain chainOf(const httplib::Request &request)
{
    std::string text;
    for (std::size_t i = 0; i < request.get_header_value_count("X-Prefix-Chain"); ++i) {
        text += (i > 0 ? "," : "") + request.get_header_value("X-Prefix-Chain", i);
    }
    return parseChain(text);
}

void answer(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

/// The stream that the request starts or resumes; null, with the refusal written, if there is none.
StreamPtr Engine::streamOf(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_header_value("X-Stream-Id");
    if (StreamPtr known = m_batch.find(id)) {
        return known;
    }
    const std::uint32_t start = numberHeader(request, "X-Answer-Offset");
    if (numberHeader(request, "X-Resume-Offset") > start) {
        answer(response, 404, {{"error", "unknown_stream"}});
        return nullptr;
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const Weights *held = m_batch.held(body.at("model"));
    if (held == nullptr) {
        answer(response, 409, {{"error", "model_not_held"}});
        return nullptr;
    }
    auto stream = std::make_shared<Stream>();
    stream->id = id;
    stream->request = request.get_header_value("X-Request-Id");
    stream->path = request.path;
    stream->weights = *held;
    stream->priority = request.has_header("X-Priority")
                               ? static_cast<int>(numberHeader(request, "X-Priority"))
                               : 1;
    stream->chain = chainOf(request);
    stream->promptSum = promptChecksum(body, start);
    stream->promptTokens = stream->chain.empty()
                                   ? static_cast<std::uint32_t>(request.body.size() / 4)
                                   : stream->chain.back().tokens;
    stream->start = stream->produced = start;
    stream->wanted = start + body.value("max_tokens", 16U);
    m_batch.add(stream);
    if (!m_faults.crashUnder.empty()
        && request.body.find(m_faults.crashUnder) != std::string::npos) {
        std::thread([this, down = m_faults.crashDown] {
            setFaults({{"crash", true}, {"down_ms", down.count()}});
        }).detach();
    }
    return stream;
}

void Engine::complete(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_batch.mutex);
    auto reader = std::make_shared<Reader>();
    reader->stream = streamOf(request, response);
    if (!reader->stream) {
        return;
    }
    reader->attempt = request.get_header_value("X-Attempt-Id");
    reader->offset = std::max(numberHeader(request, "X-Resume-Offset"), reader->stream->start);
    reader->stream->attempts.push_back(reader->attempt);
    const Reader before = std::exchange(m_last, *reader);
    if (m_faults.cross > 0 && before.stream) {
        --m_faults.cross;
        *reader = before;
    }
    response.set_header("X-Engine-Id", m_options.id);
    response.set_header("X-Incarnation", std::to_string(m_batch.incarnation));
    response.set_header("X-Weights-Version", reader->stream->weights.version);
    response.set_header("X-Stream-Id", reader->stream->id);
    response.set_header("X-Attempt-Id", reader->attempt);
    response.set_chunked_content_provider(
            "text/event-stream",
            [this, reader](std::size_t, httplib::DataSink &sink) { return serve(*reader, sink); });
}

/// The event at an offset: a token, or after the last one the usage.
std::string Engine::eventOf(const Reader &reader, std::uint32_t offset) const
{
    const Stream &stream = *reader.stream;
    const bool chat = stream.path == "/v1/chat/completions";
    nlohmann::json chunk{{"id", (chat ? "chatcmpl-" : "cmpl-") + stream.request},
                         {"object", chat ? "chat.completion.chunk" : "text_completion"},
                         {"created", m_batch.incarnation / 1000},
                         {"model", stream.weights.model},
                         {"choices", nlohmann::json::array()}};
    if (offset <= stream.wanted) {
        const std::string token = tokenAt(stream.promptSum, offset - 1);
        nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
        if (chat) {
            choice["delta"] = {{"content", token}};
        } else {
            choice["text"] = token;
        }
        if (offset == stream.wanted) {
            choice["finish_reason"] = "length";
        }
        chunk["choices"].push_back(choice);
    } else {
        chunk["usage"] = {{"prompt_tokens", stream.promptTokens},
                          {"completion_tokens", stream.wanted},
                          {"total_tokens", stream.promptTokens + stream.wanted},
                          {"prompt_tokens_details", {{"cached_tokens", stream.cachedTokens}}}};
    }
    return "id: " + reader.attempt + ":" + std::to_string(offset) + "\ndata: " + chunk.dump()
           + "\n\n";
}

/// Writes what the stream has beyond the reader's offset, or a sign of life. @return false to cut
bool Engine::serve(Reader &reader, httplib::DataSink &sink)
{
    waitWhileFrozen();
    std::string out;
    bool done = false;
    {
        std::unique_lock lock(m_batch.mutex);
        Stream &stream = *reader.stream;
        const auto ready = [&] { return stream.over() || stream.produced > reader.offset; };
        if (!stream.changed.wait_for(lock, SignOfLife, ready)) {
            out = ": waiting\n\n";
        }
        const bool cancelled = stream.state == Stream::State::Cancelled;
        if (stream.state == Stream::State::Lost
            || (cancelled && stream.produced <= reader.offset)) {
            return false;
        }
        const bool finished = stream.state == Stream::State::Finished;
        const std::uint32_t available = stream.produced + (finished ? 1 : 0);
        while (reader.offset < available) {
            if (m_faults.cutCount > 0 && reader.offset == m_faults.cutAt) {
                --m_faults.cutCount;
                return false;
            }
            if (m_faults.stray > 0 && m_last.stream && m_last.stream != reader.stream) {
                --m_faults.stray;
                out += eventOf(m_last, std::min(reader.offset + 1, m_last.stream->wanted));
            }
            out += eventOf(reader, ++reader.offset);
        }
        done = finished;
        if (done) {
            out += "id: " + reader.attempt + ":" + std::to_string(reader.offset)
                   + "\ndata: [DONE]\n\n";
        }
    }
    waitWhileFrozen();
    const bool written = sink.write(out.data(), out.size());
    if (done) {
        sink.done();
    }
    return written;
}

void Engine::order(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    Order order;
    order.fencing = body.at("fencing");
    order.sequence = body.at("sequence");
    order.role = body.value("role", "serving");
    for (const auto &model : body.at("models")) {
        order.models.push_back({model.at("id"), model.at("weights"),
                                model.value("adapters", std::vector<std::string>{})});
    }
    const std::lock_guard lock(m_batch.mutex);
    if (m_batch.order(order)) {
        answer(response, 200, {{"fencing", order.fencing}});
    } else {
        answer(response, 409, {{"highest", m_batch.highestFencing}});
    }
}

/// {"crash":true,"down_ms":T} {"freeze_ms":T, -1 for good} {"slow":F} {"cross":N} {"stray":N}
/// {"drop_events":N} {"cut_at":TOKEN,"cut_count":N} {"refuse_ms":T}
/// {"crash_under":TEXT,"crash_down_ms":T}: crashes when it begins a request whose body has the text
void Engine::setFaults(const nlohmann::json &faults)
{
    const int freeze = faults.value("freeze_ms", 0);
    const int down = faults.value("down_ms", faults.value("refuse_ms", 0));
    {
        const std::lock_guard lock(m_batch.mutex);
        if (faults.value("crash", false)) {
            m_batch.crash();
            m_last = {};
        }
        if (faults.contains("freeze_ms")) {
            m_batch.frozenUntil = Clock::now() + (freeze < 0 ? ForGood : Milliseconds(freeze));
        }
        m_batch.slowness = faults.value("slow", m_batch.slowness);
        m_batch.cache.dropEvents(faults.value("drop_events", 0U));
        m_faults.crashUnder = faults.value("crash_under", m_faults.crashUnder);
        m_faults.crashDown =
                Milliseconds(faults.value("crash_down_ms", m_faults.crashDown.count()));
        m_faults.cross = faults.value("cross", m_faults.cross);
        m_faults.stray = faults.value("stray", m_faults.stray);
        if (faults.contains("cut_at")) {
            m_faults.cutAt = faults["cut_at"];
            m_faults.cutCount = faults.value("cut_count", 1U);
        }
    }
    if (down > 0) {
        refuse(Milliseconds(down));
    }
}

void Engine::waitWhileFrozen()
{
    while (true) {
        {
            const std::lock_guard lock(m_batch.mutex);
            if (Clock::now() >= m_batch.frozenUntil) {
                return;
            }
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

void Engine::install(httplib::Server &server)
{
    using httplib::Request;
    using httplib::Response;
    server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    server.set_tcp_nodelay(true);
    server.set_socket_options([](int socket) {
        const int yes = 1; // not the library's SO_REUSEPORT: two tests must not share a port
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    server.set_pre_routing_handler([this](const Request &request, Response &) {
        if (!request.path.starts_with("/control/")) {
            waitWhileFrozen();
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server.set_exception_handler(
            [](const Request &, Response &out, const std::exception_ptr &thrown) {
                try {
                    std::rethrow_exception(thrown);
                } catch (const std::exception &error) {
                    answer(out, 400, {{"error", error.what()}});
                }
            });
    const auto complete = [this](const Request &in, Response &out) { this->complete(in, out); };
    server.Post("/v1/chat/completions", complete);
    server.Post("/v1/completions", complete);
    server.Post(R"(/v1/streams/([^/]+)/cancel)", [this](const Request &in, Response &out) {
        const std::lock_guard lock(m_batch.mutex);
        const StreamPtr stream = m_batch.find(in.matches[1]);
        if (stream) {
            m_batch.cancel(*stream);
        }
        answer(out, stream ? 200 : 404, {{"cancelled", stream != nullptr}});
    });
    server.Get("/v1/state", [this](const Request &, Response &out) {
        const std::lock_guard lock(m_batch.mutex);
        answer(out, 200, m_batch.state());
    });
    server.Get("/v1/cache_events", [this](const Request &in, Response &out) {
        const std::lock_guard lock(m_batch.mutex);
        const bool same = in.get_param_value("incarnation") == std::to_string(m_batch.incarnation);
        const std::uint64_t after = same ? std::stoull("0" + in.get_param_value("after")) : 0;
        nlohmann::json page = m_batch.cache.events(after, m_options.eventLag);
        page["incarnation"] = m_batch.incarnation;
        answer(out, 200, page);
    });
    server.Post("/v1/orders", [this](const Request &in, Response &out) { order(in, out); });
    server.Post("/control/faults", [this](const Request &in, Response &out) {
        setFaults(nlohmann::json::parse(in.body));
        answer(out, 200, {{"set", true}});
    });
    server.Get("/control/log", [this](const Request &, Response &out) {
        const std::lock_guard lock(m_batch.mutex);
        answer(out, 200, m_batch.log());
    });
}

/// Serves on one port; the port can be closed for a time while open connections go on.
class Port
{
public:
    Port(Engine &engine, int port, std::string certificate, std::string key)
        : m_engine(engine)
        , m_port(port)
        , m_certificate(std::move(certificate))
        , m_key(std::move(key))
    {}

    bool open()
    {
        std::shared_ptr<httplib::Server> server;
        if (m_certificate.empty()) {
            server = std::make_shared<httplib::Server>();
        } else {
            server = std::make_shared<httplib::SSLServer>(m_certificate.c_str(), m_key.c_str());
        }
        m_engine.install(*server);
        if (!server->bind_to_port("127.0.0.1", m_port)) {
            return false;
        }
        m_server = server;
        std::thread([server] { server->listen_after_bind(); }).detach();
        return true;
    }

    /// A thread of its own does it: a server can't be stopped by one of its own handlers.
    void closeFor(Milliseconds span)
    {
        std::thread([this, span] {
            m_server->stop();
            std::this_thread::sleep_for(span);
            while (!open()) {
                std::this_thread::sleep_for(Milliseconds(20));
            }
        }).detach();
    }

private:
    Engine &m_engine;
    int m_port;
    std::string m_certificate;
    std::string m_key;
    std::shared_ptr<httplib::Server> m_server;
};

} // namespace

int main(int argc, char **argv)
{
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<unsigned>;
    TCLAP::CmdLine line("Stands in for a model engine.", ' ', "0.1.0");
    Number port("", "port", "port on 127.0.0.1", true, 0, "PORT", line);
    Text id("", "id", "engine id", true, "", "ID", line);
    Text model("", "model", "model held", false, "copy", "ID", line);
    Text weights("", "weights", "weights held", false, "w1", "VERSION", line);
    Number slots("", "slots", "requests run at once", false, 64, "N", line);
    Number step("", "step-ms", "time of one token", false, 5, "MS", line);
    Number rate("", "prefill-rate", "prompt tokens a second", false, 10'000, "N", line);
    Number cache("", "cache-tokens", "size of the prefix cache", false, 200'000, "N", line);
    Number reportLag("", "report-lag-ms", "age of load reports", false, 0, "MS", line);
    Number eventLag("", "event-lag-ms", "age of cache events", false, 0, "MS", line);
    Number load("", "load-ms", "time to load weights", false, 2000, "MS", line);
    Text certificate("", "certificate", "PEM file, for TLS", false, "", "FILE", line);
    Text key("", "key", "PEM file of its private key", false, "", "FILE", line);
    TCLAP::SwitchArg noFencing("", "no-fencing", "takes orders with an old number", line);
    line.parse(argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Options options;
    options.id = id.getValue();
    options.slots = slots.getValue();
    options.step = Milliseconds(step.getValue());
    options.prefillRate = rate.getValue();
    options.cacheTokens = cache.getValue();
    options.reportLag = Milliseconds(reportLag.getValue());
    options.eventLag = Milliseconds(eventLag.getValue());
    options.load = Milliseconds(load.getValue());
    options.fencing = !noFencing.getValue();
    Engine engine(options, {model.getValue(), weights.getValue(), {}});
    Port listener(engine, static_cast<int>(port.getValue()), certificate.getValue(),
                  key.getValue());
    engine.refuse = [&](Milliseconds span) { listener.closeFor(span); };
    if (!listener.open()) {
        return EXIT_FAILURE;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(EXIT_SUCCESS);
}
