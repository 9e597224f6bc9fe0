#include "platform/records.hpp"

#include <gtest/gtest.h>

namespace vanilladyke::platform {
namespace {

std::string pageOf(const std::string &first, const std::string &second)
{
    std::string page = R"({"hasMore":true,"end":9,"items":[)";
    return page.append(first).append(",").append(second).append("]}");
}

// One odd record among hundreds makes the page unreadable, and no node lists the servers any more.
TEST(Records, AnOddItemOfAListingIsLeftOutAlone)
{
    const std::string sound = R"({"key":"a","value":"eA==","offset":3})";
    for (const std::string odd :
         {"7", "null", "[]", "{}", R"({"key":"b"})", R"({"key":"b","value":"!","offset":1})",
          R"({"key":"b","value":"","offset":"x"})", R"({"key":3,"value":"","offset":1})",
          "{\"key\":\"b\xff\",\"value\":\"\",\"offset\":1}"}) {
        for (const std::string &text : {pageOf(odd, sound), pageOf(sound, odd)}) {
            const auto page = decodeNewest(text);
            ASSERT_TRUE(page) << text;
            ASSERT_EQ(page->items.size(), 1U) << text;
            EXPECT_EQ(page->items.front().key, "a");
            EXPECT_EQ(page->items.front().value, "x");
            EXPECT_EQ(page->malformedItems, 1U);
            EXPECT_FALSE(page->lastKey.empty());
        }
    }
    EXPECT_FALSE(decodeNewest(R"({"items":7,"end":9})"));
}

// What an entry holds stands in heads of calls; a line end would add lines to them.
TEST(Records, NeitherIdNorAddressOfAnEntryHoldsALineEnd)
{
    const std::string scoped =
            R"({"service":"a","state":"ready","address":"[fe80::1%x\r\nInjected: 1]:80"})";
    const auto entry = decodeBackend("a", scoped);
    EXPECT_TRUE(!entry || entry->endpoint.str().find('\r') == std::string::npos);
    for (const std::string id : {"", "a\r\nb", " a", "a ", "a\x7f"}) {
        EXPECT_FALSE(isServerId(id)) << id;
    }
    for (const std::string id : {"i-7f3a91c2", "odd one", "odd\u00e9", "\xff"}) {
        EXPECT_TRUE(isServerId(id)) << id;
    }
}

} // namespace
} // namespace vanilladyke::platform
