#include "vanilladyke/model/foreign_json.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// @param at of the slash that may begin a comment
/// @return the position of the comment's last character, or @p at if there is no comment
std::size_t endOfComment(std::string_view json, std::size_t at)
{
    // As the parser has it: a line's comment ends at a zero byte, too.
    constexpr std::string_view LineEnds("\n\r\0", 3);
    const std::string_view opening = json.substr(at, 2);
    std::size_t end = at;
    if (opening == "//") {
        end = json.find_first_of(LineEnds, at);
    } else if (opening == "/*") {
        end = json.find("*/", at + 2);
        end += end == std::string_view::npos ? 0 : 1;
    }
    return std::min(end, json.size() - 1);
}

} // namespace

std::size_t nestingDepth(std::string_view json)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    bool escaped = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '/') {
            i = endOfComment(json, i);
        } else if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

nlohmann::json parseForeignJson(std::string_view text, JsonComments comments)
{
    constexpr int ErrorId = 501;
    if (nestingDepth(text) > MaxJsonDepth) {
        throw nlohmann::json::other_error::create(ErrorId, "the JSON is nested too deeply",
                                                  nullptr);
    }
    return nlohmann::json::parse(text, nullptr, true, comments == JsonComments::Skipped);
}

nlohmann::json parseForeignJsonOrDiscard(std::string_view text)
{
    return nlohmann::json::parse(nestingDepth(text) > MaxJsonDepth ? std::string_view() : text,
                                 nullptr, false);
}

} // namespace vanilladyke
