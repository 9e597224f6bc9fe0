#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"

#include <nlohmann/json.hpp>

#include <string>

/// Assembles the frames of a stream into one complete answer.
namespace vanilladyke {

/// @brief Accumulates the frames of one answer.
class AnswerAssembly
{
public:
    explicit AnswerAssembly(const RequestContext &context);

    /// @brief Adds a frame that is not the end. @return false if it is not a completion chunk
    [[nodiscard]] bool add(const StreamFrame &frame);
    /// @brief The answer in the OpenAI response format.
    [[nodiscard]] std::string json(WallTime created) const;

private:
    RequestId m_request;
    ModelId m_model;
    bool m_chat;
    std::string m_text;
    std::string m_finishReason = "stop";
    nlohmann::json m_usage;
};

/// @brief The text that a completion chunk adds; empty if it adds none.
[[nodiscard]] std::string chunkText(const nlohmann::json &chunk);

} // namespace vanilladyke
