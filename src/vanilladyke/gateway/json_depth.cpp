#include "vanilladyke/gateway/json_depth.hpp"

#include <algorithm>

namespace vanilladyke {

std::size_t nestingDepth(std::string_view json)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    bool escaped = false;
    for (const char c : json) {
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

} // namespace vanilladyke
