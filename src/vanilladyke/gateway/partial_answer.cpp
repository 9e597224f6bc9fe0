#include "vanilladyke/gateway/partial_answer.hpp"

#include "vanilladyke/gateway/answer_assembly.hpp"
#include "vanilladyke/model/foreign_json.hpp"

#include <nlohmann/json.hpp>

namespace vanilladyke {

namespace {

std::string textOf(const std::string &frame)
{
    const nlohmann::json chunk = parseForeignJsonOrDiscard(frame);
    return chunk.is_discarded() ? std::string() : chunkText(chunk);
}

void reduceLimit(nlohmann::json &body, const char *field, std::uint32_t tokens)
{
    const auto limit = body.find(field);
    if (limit != body.end()) {
        const auto before = limit->get<std::uint32_t>();
        *limit = before - std::min(before, tokens);
    }
}

} // namespace

void PartialAnswer::add(std::uint32_t offset, const std::string &data)
{
    if (offset == m_start + m_frames.size() + 1) {
        m_frames.push_back(data);
    }
}

bool PartialAnswer::covers(std::uint32_t offset) const
{
    return m_start == 0 && offset <= m_frames.size();
}

std::uint32_t PartialAnswer::tokens() const
{
    std::size_t count = m_frames.size();
    while (count > 0 && textOf(m_frames[count - 1]).empty()) {
        --count;
    }
    return static_cast<std::uint32_t>(count);
}

std::string PartialAnswer::text() const
{
    std::string all;
    for (const std::string &frame : m_frames) {
        all += textOf(frame);
    }
    return all;
}

std::string PartialAnswer::continuationBody(const RequestContext &context) const
{
    const std::uint32_t have = tokens();
    if (have == 0) {
        return context.engineBody;
    }
    nlohmann::json body = parseForeignJson(context.engineBody);
    if (isChat(context)) {
        body["messages"].push_back({{"role", "assistant"}, {"content", text()}});
        body["add_generation_prompt"] = false;
        body["continue_final_message"] = true;
    } else {
        body["prompt"] = body["prompt"].get<std::string>() + text();
    }
    reduceLimit(body, "max_tokens", have);
    reduceLimit(body, "max_completion_tokens", have);
    return body.dump();
}

} // namespace vanilladyke
