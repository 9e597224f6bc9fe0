#include "vanilladyke/policy/membership.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

/// Nodes in one process that exchange messages directly, over links that can be cut.
class FakeFleet
{
public:
    explicit FakeFleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            start(i, 1);
        }
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        Member self;
        self.node = NodeId("n" + std::to_string(index));
        self.peers = endpointOf(index);
        self.incarnation = Incarnation{incarnation};
        self.phase = Phase::Ready;
        m_nodes.resize(std::max(m_nodes.size(), index + 1));
        m_nodes[index] = std::make_unique<Membership>(self, std::vector{endpointOf(0)});
    }

    void stop(std::size_t index) { m_nodes[index].reset(); }

    void run(Duration span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += milliseconds(50)) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_nodes[i]) {
                    send(i, m_nodes[i]->tick(m_now, m_random));
                }
            }
        }
    }

    Membership &operator[](std::size_t index) { return *m_nodes[index]; }
    std::function<bool(std::size_t, std::size_t)> linked = [](std::size_t, std::size_t) {
        return true;
    };
    std::size_t messages = 0;

private:
    static Endpoint endpointOf(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    }

    void send(std::size_t from, const std::vector<Outgoing> &outgoing)
    {
        for (const Outgoing &each : outgoing) {
            const auto *endpoint = std::get_if<Endpoint>(&each.to);
            const std::size_t to = endpoint != nullptr
                                           ? endpoint->port - 1U
                                           : std::stoul(std::get<ReplyRoute>(each.to).identity);
            if (to >= m_nodes.size() || !m_nodes[to] || !linked(from, to)) {
                continue;
            }
            ++messages;
            send(to, m_nodes[to]->receive(each.message, {std::to_string(from)}, m_now));
        }
    }

    std::vector<std::unique_ptr<Membership>> m_nodes;
    Random m_random{7};
    TimePoint m_now{};
};

Liveness livenessOf(Membership &at, const std::string &node)
{
    for (const Member &member : at.members()) {
        if (member.node == NodeId(node)) {
            return member.liveness;
        }
    }
    ADD_FAILURE() << "unknown node " << node;
    return Liveness::Dead;
}

TEST(Membership, NodesWithOneSeedDiscoverAllNodes)
{
    FakeFleet fleet(9);
    fleet.run(std::chrono::seconds(5));
    for (std::size_t i = 0; i < 9; ++i) {
        EXPECT_EQ(fleet[i].liveCount(), 9U);
    }
}

// A host crashes. Guards against nodes that still count it: each would leave it an unused share of
// every engine, and callers would be refused while engines are idle.
TEST(Membership, ADeadNodeIsDetectedByAll)
{
    FakeFleet fleet(9);
    fleet.run(std::chrono::seconds(5));
    fleet.stop(4);
    fleet.run(std::chrono::seconds(8));
    for (const std::size_t i : {0U, 3U, 8U}) {
        EXPECT_EQ(livenessOf(fleet[i], "n4"), Liveness::Dead);
        EXPECT_EQ(fleet[i].liveCount(), 8U);
    }
}

// One link between two nodes fails while all others work. Guards against either of them being
// declared dead: both still serve callers, and indirect probes reach them.
TEST(Membership, ABrokenLinkBetweenTwoNodesMakesNeitherDead)
{
    FakeFleet fleet(5);
    fleet.run(std::chrono::seconds(5));
    fleet.linked = [](std::size_t from, std::size_t to) { return from + to != 1; };
    fleet.run(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 5; ++i) {
        EXPECT_EQ(fleet[i].liveCount(), 5U);
    }
}

// A network partition separates two regions for minutes, and each declares the other's nodes dead.
// Guards against a fleet that stays split after the network recovers since dead nodes aren't
// probed.
TEST(Membership, RegionsJoinAgainAfterAPartition)
{
    FakeFleet fleet(8);
    fleet.run(std::chrono::seconds(5));
    fleet.linked = [](std::size_t from, std::size_t to) { return from / 4 == to / 4; };
    fleet.run(std::chrono::minutes(3));
    EXPECT_EQ(fleet[0].liveCount(), 4U);
    fleet.linked = [](std::size_t, std::size_t) { return true; };
    fleet.run(std::chrono::seconds(30));
    for (std::size_t i = 0; i < 8; ++i) {
        EXPECT_EQ(fleet[i].liveCount(), 8U);
    }
}

// A process is suspended, declared dead by the others, and resumed. Guards against a node that
// stays dead to the others because its incarnation is the same, although it serves callers again.
TEST(Membership, AResumedNodeRefutesThatItIsDead)
{
    FakeFleet fleet(4);
    fleet.run(std::chrono::seconds(5));
    fleet.linked = [](std::size_t from, std::size_t to) { return from != 2 && to != 2; };
    fleet.run(std::chrono::seconds(10));
    EXPECT_EQ(livenessOf(fleet[0], "n2"), Liveness::Dead);
    fleet.linked = [](std::size_t, std::size_t) { return true; };
    fleet.run(std::chrono::seconds(15));
    EXPECT_EQ(livenessOf(fleet[0], "n2"), Liveness::Alive);
}

// A node is replaced under the same name while updates on its earlier incarnation are still being
// gossiped. Guards against such an update that makes the new, ready node dead.
TEST(Membership, ANewIncarnationOverridesUpdatesOnTheFormerOne)
{
    FakeFleet fleet(4);
    fleet.run(std::chrono::seconds(5));
    fleet.stop(3);
    fleet.run(std::chrono::seconds(10));
    fleet.start(3, 2);
    fleet.run(std::chrono::seconds(10));
    for (std::size_t i = 0; i < 4; ++i) {
        EXPECT_EQ(livenessOf(fleet[i], "n3"), Liveness::Alive);
    }
}

TEST(Membership, AnUpdateOnALeavingEngineReachesAllOnce)
{
    FakeFleet fleet(9);
    fleet.run(std::chrono::seconds(5));
    fleet[2].spreadLeaving(EngineId("copy-7"));
    fleet.run(std::chrono::seconds(4));
    for (std::size_t i = 0; i < 9; ++i) {
        EXPECT_EQ(fleet[i].takeLeaving(), std::vector{EngineId("copy-7")});
        EXPECT_TRUE(fleet[i].takeLeaving().empty());
    }
}

TEST(Membership, TheCostOfANodeDoesNotGrowWithTheFleet)
{
    const auto messagesPerNode = [](std::size_t size) {
        FakeFleet fleet(size);
        fleet.run(std::chrono::seconds(20));
        fleet.messages = 0;
        fleet.run(std::chrono::seconds(20));
        return fleet.messages / size;
    };
    EXPECT_LE(messagesPerNode(100), messagesPerNode(10) * 11 / 10);
}

} // namespace
} // namespace vanilladyke
