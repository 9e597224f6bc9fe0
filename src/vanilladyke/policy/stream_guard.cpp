#include "vanilladyke/policy/stream_guard.hpp"

namespace vanilladyke {

FrameVerdict StreamGuard::check(std::string_view attempt, std::uint32_t offset)
{
    if (attempt != m_attempt) {
        return FrameVerdict::Foreign;
    }
    if (offset <= m_offset) {
        return FrameVerdict::Duplicate;
    }
    if (offset != m_offset + 1) {
        return FrameVerdict::Gap;
    }
    ++m_offset;
    return FrameVerdict::Pass;
}

FrameVerdict StreamGuard::checkEnd(std::string_view attempt, std::uint32_t total) const
{
    if (attempt != m_attempt) {
        return FrameVerdict::Foreign;
    }
    return total > m_offset ? FrameVerdict::Gap : FrameVerdict::Pass;
}

} // namespace vanilladyke
