#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Lets through only the next frame of the attempt under way.
///
/// An answer may reach a node over several connections, one after another, and a connection may
/// carry what belongs to another exchange. Without this check a caller would see tokens twice, out
/// of order, or of somebody else's answer.
namespace vanilladyke {

/// @brief What is to be done with a frame.
enum class FrameVerdict {
    Pass,      ///< the next one: hand it on
    Duplicate, ///< had already: drop it
    Foreign,   ///< of another attempt: drop it
    Gap,       ///< something before it is missing: resume from the last good offset
};

/// @brief The offsets that one caller has got.
class StreamGuard
{
public:
    /// @param offset frames that the caller has already
    explicit StreamGuard(std::uint32_t offset = 0)
        : m_offset(offset)
    {}

    /// @brief From now on only frames of this attempt count.
    void begin(std::string attempt) { m_attempt = std::move(attempt); }
    /// @brief Judges a frame; one that passes counts as handed on.
    [[nodiscard]] FrameVerdict check(std::string_view attempt, std::uint32_t offset);
    /// @brief Judges an end marker. @param total frames of the whole answer, by the engine's count
    [[nodiscard]] FrameVerdict checkEnd(std::string_view attempt, std::uint32_t total) const;
    /// @brief Frames handed on so far.
    [[nodiscard]] std::uint32_t offset() const { return m_offset; }

private:
    std::string m_attempt;
    std::uint32_t m_offset;
};

} // namespace vanilladyke
