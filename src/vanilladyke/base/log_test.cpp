#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/utf8.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

std::string written(const std::string &value)
{
    initializeLog(Severity::Info, "", LogTarget::StandardError);
    testing::internal::CaptureStderr();
    LogEvent("seen").field("value", value);
    const std::string line = testing::internal::GetCapturedStderr();
    return line.substr(line.find("event="));
}

// Bytes from outside that are no UTF-8 make a collector drop the line, or all lines after it.
TEST(Log, WritesBytesThatAreNoTextEscaped)
{
    EXPECT_EQ(written("caf\u00e9"), "event=seen value=caf\u00e9\n");
    EXPECT_EQ(written("a\xff\xfe"), "event=seen value=\"a\\xff\\xfe\"\n");
    EXPECT_EQ(written("caf\xc3"), "event=seen value=\"caf\\xc3\"\n");
    EXPECT_EQ(written(std::string("a\0\x1b\x7f", 4)), "event=seen value=\"a\\x00\\x1b\\x7f\"\n");
    EXPECT_EQ(written("a\\xff\n\r\t"), "event=seen value=\"a\\\\xff\\n\\r\t\"\n");
}

// A line that is cut inside a character is no text either.
TEST(Log, CutsALongLineBetweenCharacters)
{
    for (const std::string start : {"", "a"}) {
        initializeLog(Severity::Info, "", LogTarget::StandardOutput);
        testing::internal::CaptureStdout();
        std::string value = start;
        for (int i = 0; i < 5000; ++i) {
            value += "\u00e9";
        }
        LogEvent("seen").field("value", value);
        const std::string text = testing::internal::GetCapturedStdout();
        std::string_view line = text;
        EXPECT_GT(line.size(), 4000U);
        while (!line.empty()) {
            const std::size_t length = utf8CharacterBytes(line);
            ASSERT_GT(length, 0U);
            line.remove_prefix(length);
        }
    }
}

TEST(Utf8, KnowsCharactersByTheirBytes)
{
    for (const std::string text : {"a", "\u00e9", "\u20ac", "\U0001f600", "\U0010ffff"}) {
        EXPECT_EQ(utf8CharacterBytes(text + "a"), text.size()) << text;
    }
    for (const std::string text :
         {"", "\x80", "\xc3", "\xc0\x80", "\xc3(", "\xe0\x80\x80", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xff"}) {
        EXPECT_EQ(utf8CharacterBytes(text), 0U) << text;
    }
}

} // namespace
} // namespace vanilladyke
