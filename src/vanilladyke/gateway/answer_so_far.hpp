#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanilladyke {

/// @brief The frames of an answer that this node knows, to go on from on another engine.
///
/// Kept as they came and read only when an engine is lost: reading each as it passes would cost
/// every stream for the sake of a few.
class AnswerSoFar
{
public:
    /// @param start frames before the first that will be known here
    explicit AnswerSoFar(std::uint32_t start = 0)
        : m_start(start)
    {}

    /// @brief Adds the frame at an offset, unless it is known or another is missing before it.
    void add(std::uint32_t offset, const std::string &data);
    /// @brief Whether everything up to the offset is known.
    [[nodiscard]] bool covers(std::uint32_t offset) const;
    /// @brief Frames up to the last one that holds text.
    [[nodiscard]] std::uint32_t tokens() const;
    /// @brief The request's body with the answer so far at the end of its prompt.
    [[nodiscard]] std::string continuedBody(const RequestContext &context) const;

private:
    [[nodiscard]] std::string text() const;

    std::uint32_t m_start;
    std::vector<std::string> m_frames;
};

} // namespace vanilladyke
