#include "vanilladyke/gateway/answer_assembly.hpp"

#include "vanilladyke/model/foreign_json.hpp"

namespace vanilladyke {

namespace {

/// The first choice, or null if the chunk has none, as in the chunk that carries the usage.
const nlohmann::json *firstChoice(const nlohmann::json &chunk)
{
    const auto choices = chunk.find("choices");
    const bool any = choices != chunk.end() && choices->is_array() && !choices->empty();
    return any ? &choices->front() : nullptr;
}

} // namespace

std::string chunkText(const nlohmann::json &chunk)
{
    const nlohmann::json *choice = firstChoice(chunk);
    if (choice == nullptr) {
        return {};
    }
    const auto delta = choice->find("delta");
    return delta != choice->end() ? delta->value("content", "") : choice->value("text", "");
}

AnswerAssembly::AnswerAssembly(const RequestContext &context)
    : m_request(context.id)
    , m_model(context.model)
    , m_chat(isChat(context))
{}

bool AnswerAssembly::add(const StreamFrame &frame)
{
    try {
        const nlohmann::json chunk = parseForeignJson(frame.data);
        m_text += chunkText(chunk);
        if (const nlohmann::json *choice = firstChoice(chunk)) {
            const auto reason = choice->find("finish_reason");
            if (reason != choice->end() && reason->is_string()) {
                m_finishReason = *reason;
            }
        }
        if (chunk.contains("usage") && chunk["usage"].is_object()) {
            m_usage = chunk["usage"];
        }
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    return true;
}

std::string AnswerAssembly::json(WallTime created) const
{
    nlohmann::json choice{{"index", 0}, {"finish_reason", m_finishReason}};
    if (m_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(created.time_since_epoch());
    nlohmann::json answer{{"id", (m_chat ? "chatcmpl-" : "cmpl-") + m_request.str()},
                          {"object", m_chat ? "chat.completion" : "text_completion"},
                          {"created", seconds.count()},
                          {"model", m_model.str()},
                          {"choices", nlohmann::json::array({choice})}};
    if (!m_usage.is_null()) {
        answer["usage"] = m_usage;
    }
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace vanilladyke
