#include "vanilladyke/platform/host_list.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

TEST(HostList, ReadsKindAndState)
{
    const auto hosts = parseHostList(R"({"hosts": [
        {"endpoint": "127.0.0.1:80", "kind": "entry", "state": "live"},
        {"endpoint": "127.0.0.1:81", "kind": "backend", "state": "leaving"}]})");
    ASSERT_TRUE(hosts.has_value()) << hosts.error();
    EXPECT_EQ(*hosts, (std::vector<ListedHost>{{{"127.0.0.1", 80}, HostKind::Entry, false},
                                               {{"127.0.0.1", 81}, HostKind::Backend, true}}));
}

// Guards against accepting part of a malformed list: live engines would appear to be gone.
TEST(HostList, RejectsMalformedListsAsAWhole)
{
    for (const char *body :
         {"", "null", "[]", "{}", R"({"hosts": 1})", R"({"hosts": [1]})", R"({"hosts": [{}]})",
          R"({"hosts": [{"endpoint": "x:1", "kind": "entry", "state": "live"}]})",
          R"({"hosts": [{"endpoint": "127.0.0.1:1", "kind": "entry", "state": "gone"}]})",
          R"({"hosts": [{"endpoint": "127.0.0.1:1", "kind": 3, "state": "live"}]})"}) {
        EXPECT_FALSE(parseHostList(body).has_value()) << body;
    }
    EXPECT_FALSE(parseHostList(std::string(100'000, '[')).has_value());
}

RC_GTEST_PROP(HostList, RandomBytesAreNoList, (const std::string &bytes))
{
    RC_ASSERT(!parseHostList(bytes).has_value());
}

} // namespace
} // namespace vanilladyke
