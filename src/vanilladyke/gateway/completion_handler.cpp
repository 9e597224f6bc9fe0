#include "vanilladyke/gateway/completion_handler.hpp"

#include "vanilladyke/gateway/answer_assembly.hpp"
#include "vanilladyke/gateway/refusal_response.hpp"

#include <httplib.h>

namespace vanilladyke {

namespace {

/// A caller's connection that carries nothing for longer is dropped by some middle boxes, and a
/// caller that left is only noticed by a write that fails.
constexpr Duration HeartbeatEvery = std::chrono::milliseconds(500);
constexpr std::string_view Heartbeat = ": waiting\n\n";

bool write(httplib::DataSink &sink, std::string_view bytes)
{
    return sink.write(bytes.data(), bytes.size());
}

std::string eventOf(const StreamFrame &frame)
{
    return "data: " + (frame.end ? std::string("[DONE]") : frame.data) + "\n\n";
}

std::string errorEvent(const Refusal &refusal, const RequestId &request)
{
    return "event: error\ndata: " + refusalBody(refusal, request, MonotonicClock::now()) + "\n\n";
}

/// Hands one step on to the caller. @return false once the caller has left
bool forward(const StreamStep &step, const RequestId &request, httplib::DataSink &sink)
{
    if (const auto *frame = std::get_if<StreamFrame>(&step)) {
        const bool written = write(sink, eventOf(*frame));
        if (written && frame->end) {
            sink.done();
        }
        return written;
    }
    if (const auto *refusal = std::get_if<Refusal>(&step)) {
        const bool written = write(sink, errorEvent(*refusal, request));
        sink.done();
        return written;
    }
    return write(sink, Heartbeat);
}

/// Waits for what comes first: a frame or the end of the conversation.
std::variant<StreamFrame, Refusal> nextFrame(Conversation &conversation)
{
    while (true) {
        StreamStep step = conversation.next(MonotonicClock::now() + HeartbeatEvery);
        if (auto *frame = std::get_if<StreamFrame>(&step)) {
            return std::move(*frame);
        }
        if (auto *refusal = std::get_if<Refusal>(&step)) {
            return std::move(*refusal);
        }
    }
}

} // namespace

CompletionHandler::CompletionHandler(const FleetStore &fleet, Metrics &metrics)
    : m_fleet(fleet)
    , m_metrics(metrics)
    , m_control(fleet, metrics)
    , m_chain({}, {}, {}, {}, {&m_control.admission}, {&m_control.admission})
{}

void CompletionHandler::operator()(RequestContext context, httplib::Response &response)
{
    if (const FilterVerdict refusal = m_chain(context)) {
        writeRefusal(*refusal, context.id, MonotonicClock::now(), response);
        return;
    }
    auto conversation = std::make_shared<Conversation>(std::move(context), m_fleet, m_control);
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
    auto step = std::make_shared<StreamStep>(std::move(first));
    response.set_chunked_content_provider(
            "text/event-stream", [conversation, step](std::size_t, httplib::DataSink &sink) {
                const bool present = forward(*step, conversation->context().id, sink);
                const auto *frame = std::get_if<StreamFrame>(step.get());
                const bool over = std::holds_alternative<Refusal>(*step) || (frame && frame->end);
                if (present && !over) {
                    *step = conversation->next(MonotonicClock::now() + HeartbeatEvery);
                }
                return present;
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
