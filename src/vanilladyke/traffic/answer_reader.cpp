#include "vanilladyke/traffic/answer_reader.hpp"

namespace vanilladyke {

bool FoldDetector::feed(std::string_view bytes)
{
    while (!m_isOver && !bytes.empty()) {
        if (m_isAtLineStart) {
            const char first = bytes.front();
            if (first == ' ' || first == '\t') {
                return true;
            }
            m_isOver = first == '\r' || first == '\n'; // the empty line after the head
        }
        const std::size_t end = bytes.find('\n');
        m_isAtLineStart = end != std::string_view::npos;
        bytes.remove_prefix(m_isAtLineStart ? end + 1 : bytes.size());
    }
    return false;
}

} // namespace vanilladyke
