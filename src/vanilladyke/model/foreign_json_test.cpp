#include "vanilladyke/model/foreign_json.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// A record of a hundred thousand brackets is sound JSON; a copy of its value overflows the stack.
TEST(ForeignJson, RefusesWhatIsNestedTooDeeply)
{
    for (const std::string &text : {nested(100'000), "{\"a\":" + nested(MaxJsonDepth) + "}"}) {
        EXPECT_THROW(static_cast<void>(parseForeignJson(text)), nlohmann::json::exception);
        EXPECT_TRUE(parseForeignJsonOrDiscard(text).is_discarded());
    }
    EXPECT_EQ(parseForeignJson(nested(MaxJsonDepth)).size(), 1U);
    EXPECT_FALSE(parseForeignJsonOrDiscard(nested(MaxJsonDepth)).is_discarded());
}

// Guards against brackets that are hidden from the count, or counted though they nest nothing.
TEST(ForeignJson, CountsNeitherStringsNorCommentsAndNothingHidesBrackets)
{
    EXPECT_EQ(nestingDepth(R"({"a":"[[[\"[[","b":[{}]})"), 3U);
    for (const char *comment : {"// \"[[\n", "// \"[[\r", "/* \"[[ */", "/*/ \"[[ */", "/**/"}) {
        EXPECT_EQ(nestingDepth(comment + nested(2)), 2U) << comment;
        EXPECT_EQ(parseForeignJson(comment + nested(2), JsonComments::Skipped).size(), 1U);
        EXPECT_THROW(static_cast<void>(parseForeignJson(comment + nested(2))),
                     nlohmann::json::exception);
    }
    for (const char *text : {"/", "//", "/*", "[/", "[//[", "[/*["}) {
        EXPECT_LE(nestingDepth(text), 1U) << text;
    }
}

} // namespace
} // namespace vanilladyke
