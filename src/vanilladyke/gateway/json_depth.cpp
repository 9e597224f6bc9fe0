#include "vanilladyke/gateway/json_depth.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// The place after the string that begins at @p start.
std::size_t skipString(std::string_view json, std::size_t start)
{
    std::size_t at = start + 1;
    while (at < json.size() && json[at] != '"') {
        at += json[at] == '\\' ? 2 : 1;
    }
    return at + 1;
}

} // namespace

std::size_t nestingDepth(std::string_view json)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    std::size_t at = json.find_first_of("\"[]{}");
    while (at < json.size()) {
        const char c = json[at];
        if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        } else if (c != '"' && depth > 0) {
            --depth;
        }
        at = json.find_first_of("\"[]{}", c == '"' ? skipString(json, at) : at + 1);
    }
    return deepest;
}

} // namespace vanilladyke
