#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanilladyke {

/// @brief The received frames of an answer, used to continue it on another engine.
///
/// Frames are kept as received and parsed only when an engine is lost: parsing each frame on
/// arrival would add a cost to every stream, though few need it.
class PartialAnswer
{
public:
    /// @param start frames before the first one stored here
    explicit PartialAnswer(std::uint32_t start = 0)
        : m_start(start)
    {}

    /// @brief Adds the frame at an offset, unless it is stored already or an earlier one is
    /// missing.
    void add(std::uint32_t offset, const std::string &data);
    /// @brief Whether all frames up to the offset are stored.
    [[nodiscard]] bool covers(std::uint32_t offset) const;
    /// @brief Number of frames up to and including the last one with text.
    [[nodiscard]] std::uint32_t tokens() const;
    /// @brief The request's body with the partial answer appended to its prompt.
    [[nodiscard]] std::string continuationBody(const RequestContext &context) const;

private:
    [[nodiscard]] std::string text() const;

    std::uint32_t m_start;
    std::vector<std::string> m_frames;
};

} // namespace vanilladyke
