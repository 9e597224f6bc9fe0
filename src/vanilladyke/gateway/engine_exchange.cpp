#include "vanilladyke/gateway/engine_exchange.hpp"

#include "vanilladyke/gateway/sse_parser.hpp"

#include <httplib.h>

#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanilladyke {

namespace {

constexpr Duration ConnectWithin = std::chrono::milliseconds(500);
/// The reader ends by itself after this, should nobody end it first.
constexpr Duration LongestSilence = std::chrono::seconds(60);
constexpr std::string_view EndMarker = "[DONE]";

std::string chainHeader(const PrefixChain &chain)
{
    std::string text;
    for (const PrefixCut &cut : chain) {
        text += text.empty() ? "" : ",";
        text += cut.hash.hex() + ":" + std::to_string(cut.tokens);
    }
    return text;
}

httplib::Request requestOf(const EngineCall &call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.body = call.body;
    request.headers = {
            {"Content-Type", "application/json"},
            {"X-Request-Id", call.request.str()},
            {"X-Stream-Id", call.stream.str()},
            {"X-Attempt-Id", call.attempt},
            {"X-Resume-Offset", std::to_string(call.resumeOffset)},
            {"X-Prefix-Chain", chainHeader(call.chain)},
    };
    return request;
}

} // namespace

std::string_view toString(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return "connect_failed";
    case ExchangeError::Rejected:
        return "rejected";
    case ExchangeError::Reset:
        return "reset";
    case ExchangeError::Silent:
        return "silent";
    case ExchangeError::Mismatch:
        return "mismatch";
    }
    return "reset";
}

ExchangeEvent eventOf(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return ExchangeEvent::ConnectFailed;
    case ExchangeError::Rejected:
        return ExchangeEvent::RefusalReceived;
    case ExchangeError::Reset:
    case ExchangeError::Silent:
    case ExchangeError::Mismatch:
        return ExchangeEvent::ConnectionLost;
    }
    return ExchangeEvent::ConnectionLost;
}

/// Shared with the reading thread, which may outlive the exchange for a moment.
struct EngineExchange::Shared
{
    explicit Shared(const EngineCall &engineCall)
        : call(engineCall)
        , client(engineCall.engine.endpoint.host, engineCall.engine.endpoint.port)
    {}

    void read();
    bool checkHead(const httplib::Response &response);
    bool take(std::string_view bytes);
    void push(Outcome<StreamFrame, ExchangeFailure> item);

    EngineCall call;
    httplib::Client client;
    SseParser parser;
    std::mutex mutex;
    std::condition_variable filled;
    std::deque<Outcome<StreamFrame, ExchangeFailure>> items;
    bool ended = false;
};

void EngineExchange::Shared::push(Outcome<StreamFrame, ExchangeFailure> item)
{
    {
        const std::lock_guard lock(mutex);
        if (ended) {
            return;
        }
        ended = !item.has_value() || item->end;
        items.push_back(std::move(item));
    }
    filled.notify_one();
}

bool EngineExchange::Shared::checkHead(const httplib::Response &response)
{
    if (response.status != 200) {
        const bool refused = provesRefusal(response.status);
        push(failure(ExchangeFailure{refused ? ExchangeError::Rejected : ExchangeError::Reset,
                                     "status " + std::to_string(response.status)}));
        return false;
    }
    const auto expected = static_cast<std::uint64_t>(call.engine.incarnation);
    const bool matches = response.get_header_value("X-Attempt-Id") == call.attempt
                         && response.get_header_value("X-Weights-Version") == call.weights.str()
                         && response.get_header_value("X-Incarnation") == std::to_string(expected);
    if (!matches) {
        push(failure(ExchangeFailure{ExchangeError::Mismatch, "attempt, weights or incarnation"}));
    }
    return matches;
}

bool EngineExchange::Shared::take(std::string_view bytes)
{
    parser.feed(bytes);
    while (std::optional<SseEvent> event = parser.next()) {
        if (event->data == EndMarker) {
            push(StreamFrame{0, {}, true});
            return true;
        }
        std::uint32_t offset = 0;
        std::from_chars(event->id.data(), event->id.data() + event->id.size(), offset);
        push(StreamFrame{offset, std::move(event->data), false});
    }
    return true;
}

void EngineExchange::Shared::read()
{
    httplib::Request request = requestOf(call);
    request.response_handler = [this](const httplib::Response &head) { return checkHead(head); };
    request.content_receiver = [this](const char *data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        return take({data, size});
    };
    client.set_connection_timeout(ConnectWithin);
    client.set_read_timeout(LongestSilence);
    const httplib::Result result = client.send(request);
    const bool unconnected = !result && result.error() == httplib::Error::Connection;
    push(failure(ExchangeFailure{unconnected ? ExchangeError::ConnectFailed : ExchangeError::Reset,
                                 result ? "no end marker" : httplib::to_string(result.error())}));
}

EngineExchange::EngineExchange(const EngineCall &call)
    : m_shared(std::make_shared<Shared>(call))
{
    std::thread([shared = m_shared] { shared->read(); }).detach();
}

EngineExchange::~EngineExchange()
{
    {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->ended = true;
    }
    m_shared->client.stop();
}

Outcome<StreamFrame, ExchangeFailure> EngineExchange::next(TimePoint deadline)
{
    std::unique_lock lock(m_shared->mutex);
    const bool filled = m_shared->filled.wait_until(lock, deadline,
                                                    [this] { return !m_shared->items.empty(); });
    if (!filled) {
        return failure(ExchangeFailure{ExchangeError::Silent, "nothing came in time"});
    }
    Outcome<StreamFrame, ExchangeFailure> item = std::move(m_shared->items.front());
    m_shared->items.pop_front();
    return item;
}

} // namespace vanilladyke
