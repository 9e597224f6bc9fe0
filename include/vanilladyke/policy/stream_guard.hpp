#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Filters the frames of a stream: only the next frame of the current attempt passes.
///
/// A node may receive an answer over several connections in sequence, and a connection may carry
/// frames of another exchange. Without this check a caller could receive tokens twice, out of
/// order, or from the answer of another caller.
namespace vanilladyke {

/// @brief How to handle a frame.
enum class FrameVerdict {
    Pass,      ///< the next one: forward it
    Duplicate, ///< already received: drop it
    Foreign,   ///< of another attempt: drop it
    Gap,       ///< earlier frames are missing: resume from the last forwarded offset
};

/// @brief The offset up to which one caller has received frames.
class StreamGuard
{
public:
    /// @param offset number of frames that the caller has already received
    explicit StreamGuard(std::uint32_t offset = 0)
        : m_offset(offset)
    {}

    /// @brief Starts an attempt; from now on only its frames pass.
    void begin(std::string attempt) { m_attempt = std::move(attempt); }
    /// @brief Checks a frame; one that passes counts as forwarded.
    [[nodiscard]] FrameVerdict check(std::string_view attempt, std::uint32_t offset);
    /// @brief Checks an end marker. @param total number of frames of the whole answer, as reported
    /// by the engine
    [[nodiscard]] FrameVerdict checkEnd(std::string_view attempt, std::uint32_t total) const;
    /// @brief Number of frames forwarded so far.
    [[nodiscard]] std::uint32_t offset() const { return m_offset; }

private:
    std::string m_attempt;
    std::uint32_t m_offset;
};

} // namespace vanilladyke
