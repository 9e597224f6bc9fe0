#include "vanilladyke/gateway/completion_handler.hpp"

#include "vanilladyke/gateway/answer_assembly.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"
#include "vanilladyke/model/foreign_json.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace vanilladyke {

namespace {

/// Some middleboxes drop a connection that is idle for longer, and a disconnected caller is only
/// detected by a failed write.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
constexpr std::string_view Heartbeat = ": waiting\n\n";

std::string errorEvent(const Refusal &refusal, const RequestId &request)
{
    return "event: error\ndata: " + refusalBody(refusal, request, MonotonicClock::now()) + "\n\n";
}

/// Whether the frame carries only the usage. Searches the text first, since parsing every frame as
/// JSON would cost more than all other processing of it.
bool isUsageOnly(const StreamFrame &frame)
{
    if (frame.data.find("\"usage\"") == std::string::npos) {
        return false;
    }
    const nlohmann::json chunk = parseForeignJsonOrDiscard(frame.data);
    const auto choices = chunk.find("choices");
    return chunk.is_object() && choices != chunk.end() && choices->empty();
}

/// A stream being sent to its caller.
struct CallerStream
{
    std::shared_ptr<Conversation> conversation;
    const EventSigner &signer;
    StreamStep step;

    [[nodiscard]] bool isOver() const;
    [[nodiscard]] std::string bytes() const;
    [[nodiscard]] std::string frameBytes(const StreamFrame &frame) const;
};

bool CallerStream::isOver() const
{
    const auto *frame = std::get_if<StreamFrame>(&step);
    return std::holds_alternative<Refusal>(step) || (frame != nullptr && frame->end);
}

std::string CallerStream::frameBytes(const StreamFrame &frame) const
{
    const RequestContext &request = conversation->context();
    if (frame.end) {
        return "data: [DONE]\n\n";
    }
    if (!request.wantsUsage && isUsageOnly(frame)) {
        return {};
    }
    return "id: " + signer.sign(conversation->position(), request) + "\ndata: " + frame.data
           + "\n\n";
}

std::string CallerStream::bytes() const
{
    if (const auto *frame = std::get_if<StreamFrame>(&step)) {
        return frameBytes(*frame);
    }
    if (const auto *refusal = std::get_if<Refusal>(&step)) {
        return errorEvent(*refusal, conversation->context().id);
    }
    return std::string(Heartbeat);
}

/// Sends the current step to the caller. @return false if the caller has disconnected
bool forward(const CallerStream &stream, httplib::DataSink &sink)
{
    const std::string bytes = stream.bytes();
    if (!bytes.empty() && !sink.write(bytes.data(), bytes.size())) {
        return false;
    }
    if (stream.isOver()) {
        sink.done();
    }
    return true;
}

/// Waits for the next frame, or for the refusal that ends the conversation.
std::variant<StreamFrame, Refusal> nextFrame(Conversation &conversation)
{
    while (true) {
        StreamStep step = conversation.next(MonotonicClock::now() + HeartbeatInterval);
        if (auto *frame = std::get_if<StreamFrame>(&step)) {
            return std::move(*frame);
        }
        if (auto *refusal = std::get_if<Refusal>(&step)) {
            return std::move(*refusal);
        }
    }
}

} // namespace

CompletionHandler::CompletionHandler(const NodeState &node, Metrics &metrics,
                                     const EventKey &eventKey, BackendTls tls)
    : m_metrics(metrics)
    , m_signer(eventKey)
    , m_tls(std::move(tls))
    , m_canceller(m_tls)
    , m_control(node, metrics)
    , m_environment{node.fleet, m_control, m_threads, m_canceller, m_tls, m_aborting}
    , m_chain({}, {}, {}, {}, {&m_control.admission}, {&m_control.admission})
{}

void CompletionHandler::abortStreams()
{
    m_aborting = true;
    m_control.admission.refuseWaiting();
}

/// Decodes the Last-Event-ID of a caller that resumes a stream.
std::optional<Refusal> CompletionHandler::findResumePosition(RequestContext &context) const
{
    if (context.lastEventId.empty()) {
        return std::nullopt;
    }
    context.resumeAt = m_signer.verify(context.lastEventId, context);
    if (!context.resumeAt || !context.streamed) {
        return Refusal{RefusalReason::BadRequest,
                       "Last-Event-ID names no position in a stream of this request", Ran::No,
                       std::nullopt};
    }
    return std::nullopt;
}

void CompletionHandler::operator()(RequestContext context, httplib::Response &response)
{
    if (const FilterVerdict refusal = m_chain(context)) {
        writeRefusal(*refusal, context.id, MonotonicClock::now(), response);
        return;
    }
    if (const auto refusal = findResumePosition(context)) {
        writeRefusal(*refusal, context.id, MonotonicClock::now(), response);
        return;
    }
    auto conversation = std::make_shared<Conversation>(std::move(context), m_environment);
    std::variant<StreamFrame, Refusal> first = nextFrame(*conversation);
    const RequestContext &request = conversation->context();
    if (const auto *refusal = std::get_if<Refusal>(&first)) {
        writeRefusal(*refusal, request.id, MonotonicClock::now(), response);
        return;
    }
    m_metrics.observe("first_token_seconds", MonotonicClock::now() - request.arrivedAt);
    if (request.streamed) {
        stream(conversation, std::get<StreamFrame>(std::move(first)), response);
    } else {
        collect(*conversation, std::get<StreamFrame>(std::move(first)), response);
    }
}

void CompletionHandler::stream(const std::shared_ptr<Conversation> &conversation, StreamFrame first,
                               httplib::Response &response) const
{
    auto stream =
            std::make_shared<CallerStream>(CallerStream{conversation, m_signer, std::move(first)});
    response.set_chunked_content_provider("text/event-stream", [stream](std::size_t,
                                                                        httplib::DataSink &sink) {
        const bool connected = forward(*stream, sink);
        if (connected && !stream->isOver()) {
            stream->step = stream->conversation->next(MonotonicClock::now() + HeartbeatInterval);
        }
        return connected;
    });
}

void CompletionHandler::collect(Conversation &conversation, StreamFrame frame,
                                httplib::Response &response) const
{
    const RequestContext &request = conversation.context();
    AnswerAssembly answer(request);
    while (!frame.end) {
        std::variant<StreamFrame, Refusal> next;
        if (answer.add(frame)) {
            next = nextFrame(conversation);
        } else {
            next = Refusal{
                    RefusalReason::BackendFailed, "the engine sent a bad chunk", Ran::Unknown, {}};
        }
        if (const auto *refusal = std::get_if<Refusal>(&next)) {
            writeRefusal(*refusal, request.id, MonotonicClock::now(), response);
            return;
        }
        frame = std::get<StreamFrame>(std::move(next));
    }
    response.set_content(answer.json(std::chrono::system_clock::now()), "application/json");
}

} // namespace vanilladyke
