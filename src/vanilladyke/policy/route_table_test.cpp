#include "vanilladyke/policy/route_table.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

Route route(std::string name, std::string host, std::string prefix)
{
    Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    result.split = {{ServiceId("a"), 1}};
    return result;
}

RoutingConfig config()
{
    RoutingConfig result;
    result.routes = {route("short", "One.example", "/a/"), route("long", "one.example", "/a/b/"),
                     route("other", "two.example", "/")};
    result.customers = {{CustomerId("brand"), {"k1", "k2"}, 1, true}};
    result.services.resize(2);
    result.services[0].id = ServiceId("a");
    result.services[1].id = ServiceId("kept");
    result.services[1].keptCache = Endpoint{"10.0.0.1", 80};
    return result;
}

TEST(RouteTable, TakesTheLongestPrefixOfTheHost)
{
    const RouteTable table(config());
    EXPECT_EQ(table.find("one.example", "/a/b/c")->name, "long");
    EXPECT_EQ(table.find("ONE.example:8080", "/a/c?x=/a/b/")->name, "short");
    EXPECT_EQ(table.find("two.example", "/anything")->name, "other");
    EXPECT_EQ(table.find("one.example", "/b/"), nullptr);
    EXPECT_EQ(table.find("three.example", "/a/"), nullptr);
}

TEST(RouteTable, FindsCustomersServicesAndTheKeptCache)
{
    const RouteTable table(config());
    EXPECT_EQ(table.customerOf("k2")->id, CustomerId("brand"));
    EXPECT_EQ(table.customerOf("k3"), nullptr);
    EXPECT_TRUE(table.needsKeys());
    ASSERT_EQ(table.keptStores().size(), 1U);
    EXPECT_EQ(table.keptStores().front().endpoint, (Endpoint{"10.0.0.1", 80}));
    EXPECT_EQ(table.service(ServiceId("a"))->id, ServiceId("a"));
    EXPECT_EQ(table.service(ServiceId("b")), nullptr);
}

TEST(RouteTable, SplitsByWeight)
{
    Route split = route("split", "h", "/");
    split.split = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
    EXPECT_EQ(RouteTable::pickService(split, 0.0), ServiceId("a"));
    EXPECT_EQ(RouteTable::pickService(split, 0.89), ServiceId("a"));
    EXPECT_EQ(RouteTable::pickService(split, 0.91), ServiceId("b"));
    EXPECT_EQ(RouteTable::pickService(split, 0.9999), ServiceId("b"));
}

} // namespace
} // namespace vanilladyke
