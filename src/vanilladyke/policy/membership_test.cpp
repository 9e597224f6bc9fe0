#include "vanilladyke/policy/membership.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

/// Nodes in one process that hand their messages to each other, with links that can be cut.
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

TEST(Membership, NodesThatKnowOneSeedComeToKnowAll)
{
    FakeFleet fleet(9);
    fleet.run(std::chrono::seconds(5));
    for (std::size_t i = 0; i < 9; ++i) {
        EXPECT_EQ(fleet[i].liveCount(), 9U);
    }
}

// A host dies without a word. If the others went on counting it, each would leave it a share of
// every engine that nobody uses, and callers would be refused while engines idle.
TEST(Membership, ADeadNodeIsNoticedByAll)
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

// One link between two nodes fails while all others work. Both still serve callers, so neither may
// be given up: others answer for them.
TEST(Membership, ABrokenLinkBetweenTwoNodesKillsNeither)
{
    FakeFleet fleet(5);
    fleet.run(std::chrono::seconds(5));
    fleet.linked = [](std::size_t from, std::size_t to) { return from + to != 1; };
    fleet.run(std::chrono::seconds(20));
    for (std::size_t i = 0; i < 5; ++i) {
        EXPECT_EQ(fleet[i].liveCount(), 5U);
    }
}

// Two regions lose each other for minutes, and each takes the other's nodes for dead. Were the dead
// never asked again, the fleet would stay two halves after the network is back.
TEST(Membership, PartedRegionsJoinAgain)
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

// A process is frozen for a while and wakes. The others have given it up; it is well again and its
// callers come back, so it must be counted again although its incarnation is the same.
TEST(Membership, AWokenNodeTakesBackTheRumourOfItsDeath)
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

// A node is replaced under the same name. News of its former life is still about; taken for the new
// one, it would turn a ready node into a dead one.
TEST(Membership, ANewLifeOverridesNewsOfTheFormerOne)
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

TEST(Membership, NewsOfALeavingEngineReachesAllOnce)
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
