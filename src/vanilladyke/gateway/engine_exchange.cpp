#include "vanilladyke/gateway/engine_exchange.hpp"

#include "vanilladyke/gateway/reader_threads.hpp"
#include "vanilladyke/gateway/sse_parser.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace vanilladyke {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
/// The reader's socket time-out, in multiples of the idle time-out. Consumers of frames give up
/// after one, so this only ends readers that could not be stopped.
constexpr int ReaderTimeoutFactor = 3;
/// Frames buffered for a slow caller; reading from the engine pauses beyond that.
constexpr std::size_t MaxBufferedFrames = 256;
/// A frame is one token; a longer run of bytes without an event end is not an event stream.
constexpr std::size_t MaxEventBytes = 1U << 20U;
/// HTTP libraries, including ours, reject header lines above 8 KiB.
constexpr std::size_t MaxHeaderBytes = 7000;
constexpr std::string_view EndMarker = "[DONE]";

/// Splits the chain of a long prompt into several header lines.
std::vector<std::string> chainLines(const PrefixChain &chain)
{
    std::vector<std::string> lines;
    for (const PrefixCut &cut : chain) {
        if (lines.empty() || lines.back().size() > MaxHeaderBytes) {
            lines.emplace_back();
        }
        std::string &line = lines.back();
        line += line.empty() ? "" : ",";
        line += cut.hash.hex() + ":" + std::to_string(cut.tokens);
    }
    return lines;
}

/// Parses the event id "ATTEMPT:OFFSET". A malformed id leaves the attempt empty, so that the frame
/// counts as foreign.
StreamFrame frameOf(SseEvent &&event)
{
    StreamFrame frame;
    frame.end = event.data == EndMarker;
    frame.data = std::move(event.data);
    const std::size_t colon = event.id.rfind(':');
    if (colon == std::string::npos) {
        return frame;
    }
    const char *end = event.id.data() + event.id.size();
    const auto parsed = std::from_chars(event.id.data() + colon + 1, end, frame.offset);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
        frame.attempt = event.id.substr(0, colon);
    }
    return frame;
}

httplib::Request requestOf(const EngineCall &call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.headers = {
            {"Content-Type", "application/json"},
            {"X-Request-Id", call.request.str()},
            {"X-Stream-Id", call.stream.str()},
            {"X-Attempt-Id", call.attempt},
            {"X-Resume-Offset", std::to_string(call.resumeOffset)},
            {"X-Answer-Offset", std::to_string(call.answerOffset)},
            {"X-Priority", std::to_string(static_cast<int>(call.priority))},
    };
    for (const std::string &line : chainLines(call.chain)) {
        request.headers.emplace("X-Prefix-Chain", line);
    }
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
    case ExchangeError::TimedOut:
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
    case ExchangeError::TimedOut:
    case ExchangeError::Mismatch:
        return ExchangeEvent::ConnectionLost;
    }
    return ExchangeEvent::ConnectionLost;
}

/// Shared with the reader thread, which may briefly outlive the exchange.
struct EngineExchange::Shared
{
    explicit Shared(const EngineCall &engineCall)
        : call(engineCall)
        , ownedClient(makeBackendClient(engineCall.engine.endpoint, engineCall.tls))
        , client(*ownedClient)
    {}

    void read();
    bool beginSending();
    bool checkHead(const httplib::Response &response);
    bool take(std::string_view bytes);
    bool push(Outcome<StreamFrame, ExchangeFailure> item);
    void fail(ExchangeError error, std::string detail);
    void abandon();

    EngineCall call;
    std::unique_ptr<httplib::Client> ownedClient;
    httplib::Client &client;
    SseParser parser;
    std::atomic<TimePoint> lastReceivedAt{MonotonicClock::now()};
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Outcome<StreamFrame, ExchangeFailure>> items;
    bool connected = false; ///< bytes of the call may have been sent
    bool ended = false;     ///< no further items are accepted
    bool abandoned = false; ///< the consumer is gone
};

/// @return false once the exchange has ended or was abandoned
bool EngineExchange::Shared::push(Outcome<StreamFrame, ExchangeFailure> item)
{
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return abandoned || items.size() < MaxBufferedFrames; });
    if (ended || abandoned) {
        return false;
    }
    ended = !item.has_value() || item->end;
    items.push_back(std::move(item));
    changed.notify_all();
    return true;
}

void EngineExchange::Shared::fail(ExchangeError error, std::string detail)
{
    static_cast<void>(push(failure(ExchangeFailure{error, std::move(detail)})));
}

/// Runs after connecting, before the body is sent. @return false to abort
bool EngineExchange::Shared::beginSending()
{
    const std::lock_guard lock(mutex);
    connected = true;
    return !abandoned;
}

bool EngineExchange::Shared::checkHead(const httplib::Response &response)
{
    lastReceivedAt = MonotonicClock::now();
    if (response.status != 200) {
        const bool refused = provesRefusal(response.status);
        fail(refused ? ExchangeError::Rejected : ExchangeError::Reset,
             "status " + std::to_string(response.status));
        return false;
    }
    const auto expected = static_cast<std::uint64_t>(call.engine.incarnation);
    const bool matches = response.get_header_value("X-Attempt-Id") == call.attempt
                         && response.get_header_value("X-Weights-Version") == call.weights.str()
                         && response.get_header_value("X-Incarnation") == std::to_string(expected);
    if (!matches) {
        fail(ExchangeError::Mismatch, "another attempt, weights version or incarnation answered");
    }
    return matches;
}

bool EngineExchange::Shared::take(std::string_view bytes)
{
    lastReceivedAt = MonotonicClock::now();
    parser.feed(bytes);
    while (std::optional<SseEvent> event = parser.next()) {
        if (!push(frameOf(std::move(*event)))) {
            return false;
        }
    }
    return parser.pending() <= MaxEventBytes;
}

void EngineExchange::Shared::read()
{
    httplib::Request request = requestOf(call);
    request.content_length_ = call.body.size();
    request.content_provider_ = [this](std::size_t offset, std::size_t length,
                                       httplib::DataSink &sink) {
        return beginSending() && sink.write(call.body.data() + offset, length);
    };
    request.response_handler = [this](const httplib::Response &head) { return checkHead(head); };
    request.content_receiver = [this](const char *data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        return take({data, size});
    };
    client.set_connection_timeout(ConnectTimeout);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(call.idleTimeout * ReaderTimeoutFactor);
    client.set_write_timeout(call.idleTimeout);
    const httplib::Result result = client.send(request);
    const bool unconnected = !result && failedBeforeSending(result.error());
    // The library may report a connect error for a connection lost later, after bytes were sent.
    const bool nothingSent = unconnected && !connected;
    fail(nothingSent ? ExchangeError::ConnectFailed : ExchangeError::Reset,
         result ? "no end marker" : httplib::to_string(result.error()));
}

/// The library's stop() blocks while connecting, up to the connection time-out, so it is only
/// called once connected. Before that, beginSending() ends the reader.
void EngineExchange::Shared::abandon()
{
    bool stopNow = false;
    {
        const std::lock_guard lock(mutex);
        abandoned = true;
        stopNow = connected;
        changed.notify_all();
    }
    if (stopNow) {
        client.stop();
    }
}

EngineExchange::EngineExchange(const EngineCall &call, ReaderThreads &threads)
    : m_shared(std::make_shared<Shared>(call))
{
    threads.start([shared = m_shared] { shared->read(); });
}

EngineExchange::~EngineExchange()
{
    m_shared->abandon();
}

Outcome<StreamFrame, ExchangeFailure> EngineExchange::next(TimePoint deadline)
{
    std::unique_lock lock(m_shared->mutex);
    const bool filled = m_shared->changed.wait_until(lock, deadline,
                                                     [this] { return !m_shared->items.empty(); });
    if (!filled) {
        return failure(ExchangeFailure{ExchangeError::TimedOut, "nothing came in time"});
    }
    Outcome<StreamFrame, ExchangeFailure> item = std::move(m_shared->items.front());
    m_shared->items.pop_front();
    m_shared->changed.notify_all();
    return item;
}

TimePoint EngineExchange::lastReceivedAt() const
{
    return m_shared->lastReceivedAt;
}

} // namespace vanilladyke
