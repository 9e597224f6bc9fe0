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

// A new configuration isolates a customer. Guards against requests of others that use what the
// customer's requests had cached before.
TEST(RouteTable, OthersShareNothingFromBeforeACustomerWasIsolated)
{
    const auto groupsOf = [](std::vector<RoutedCustomer> customers) {
        RoutingConfig result;
        result.customers = std::move(customers);
        const RouteTable table(result);
        std::vector<std::string> groups{table.cacheGroup(nullptr)};
        for (const RoutedCustomer &each : table.config().customers) {
            groups.push_back(table.cacheGroup(&each));
        }
        return groups;
    };
    const RoutedCustomer a{CustomerId("a"), {"k"}, std::nullopt, false};
    const RoutedCustomer b{CustomerId("b"), {"l"}, std::nullopt, false};
    RoutedCustomer walledA = a;
    RoutedCustomer walledB = b;
    walledA.isIsolated = walledB.isIsolated = true;

    const auto before = groupsOf({a, b});
    const auto after = groupsOf({walledA, b});
    EXPECT_EQ(before, (std::vector<std::string>{"", "", ""})) << "as in releases before";
    EXPECT_EQ(after[0], after[2]);
    EXPECT_NE(after[2], before[2]);
    EXPECT_EQ(after[1], "a");
    EXPECT_NE(groupsOf({a, walledB})[1], after[2]);
    EXPECT_NE(groupsOf({walledA, walledB})[0], after[0]);
    EXPECT_EQ(groupsOf({walledB, walledA})[0], groupsOf({walledA, walledB})[0]);
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
