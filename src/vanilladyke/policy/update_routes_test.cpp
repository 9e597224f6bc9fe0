#include "vanilladyke/policy/update_routes.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanilladyke {
namespace {

using Routes = UpdateRoutes<int>;

constexpr int Centres = 5;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(millis));
}

std::uint64_t centreOf(int node)
{
    return static_cast<std::uint64_t>(1 + node % Centres);
}

/// The routes of a node that has received a message from every node of the fleet.
Routes routesOf(int node, int nodes, TimePoint now)
{
    Routes routes(centreOf(node));
    for (int other = 0; other < nodes; ++other) {
        if (other != node) {
            routes.nodeSeen(other, centreOf(other), now);
        }
    }
    return routes;
}

/// All nodes that receive one update of the node, directly or through a forwarder.
std::set<int> reached(int node, int nodes, TimePoint now)
{
    Random random(7);
    const Routes::Recipients sent = routesOf(node, nodes, now).recipients(random, now);
    std::set<int> all(sent.direct.begin(), sent.direct.end());
    for (const int each : sent.forwarders) {
        all.insert(each);
        for (const int inSameDataCentre : routesOf(each, nodes, now).inSameDataCentre()) {
            all.insert(inSameDataCentre);
        }
    }
    return all;
}

TEST(UpdateRoutes, EveryNodeReceivesEachUpdate)
{
    for (const int nodes : {6, 9, 24, 30, 100, 295}) {
        EXPECT_EQ(reached(3, nodes, at(0)).size(), static_cast<std::size_t>(nodes) - 1) << nodes;
    }
}

// Guards against traffic between data centres that grows with the number of nodes in them.
TEST(UpdateRoutes, AnUpdateIsSentToEachDataCentreOnce)
{
    Random random(7);
    const auto sent = routesOf(3, 295, at(0)).recipients(random, at(0));
    EXPECT_EQ(sent.forwarders.size(), static_cast<std::size_t>(Centres) - 1);
    for (const int each : sent.direct) {
        EXPECT_EQ(centreOf(each), centreOf(3));
    }
}

TEST(UpdateRoutes, NodesThatWereNeverSeenAreSentUpdatesDirectly)
{
    Routes routes(1);
    routes.setNodes({1, 2, 3});
    Random random(7);
    EXPECT_EQ(routes.recipients(random, at(0)).direct.size(), 3U);
}

// A third of the nodes of a data centre is unreachable. Guards against updates that are sent
// through them: the other nodes in that data centre would miss a third of all updates.
TEST(UpdateRoutes, UnresponsiveNodesAreNotSelectedToForward)
{
    Routes routes = routesOf(0, 100, at(0));
    for (int other = 1; other < 100; ++other) {
        if (other % 3 != 0) {
            routes.nodeSeen(other, centreOf(other), at(9000));
        }
    }
    Random random(7);
    for (int i = 0; i < 200; ++i) {
        for (const int each : routes.recipients(random, at(9000)).forwarders) {
            EXPECT_NE(each % 3, 0);
        }
    }
}

TEST(UpdateRoutes, TheForwarderIsDrawnAnewForEachUpdate)
{
    const Routes routes = routesOf(0, 100, at(0));
    Random random(7);
    std::set<int> drawn;
    for (int i = 0; i < 100; ++i) {
        for (const int each : routes.recipients(random, at(0)).forwarders) {
            drawn.insert(each);
        }
    }
    EXPECT_GT(drawn.size(), 50U);
}

} // namespace
} // namespace vanilladyke
