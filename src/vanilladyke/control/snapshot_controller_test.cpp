#include "vanilladyke/control/snapshot_controller.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

Member readyNode(const std::string &name, const std::string &dataCentre, std::uint16_t port)
{
    Member member;
    member.node = NodeId(name);
    member.dataCentre = DataCentreId(dataCentre);
    member.peers = {"127.0.0.1", port};
    member.phase = Phase::Ready;
    return member;
}

/// A node that starts, with what it sent and took in.
struct StartingNode
{
    explicit StartingNode(std::vector<Member> members)
    {
        fleet.members = std::move(members);
        controller.contribute(fleet, now);
        controller.handle(Tick{}, now);
    }

    void hear(const Member &from, const SnapshotPiece &piece)
    {
        controller.handle(PeerHeard{{from, {}, {}, piece}, {}}, now);
    }

    void wait(Duration span)
    {
        now += span;
        controller.handle(Tick{}, now);
    }

    [[nodiscard]] const Endpoint &lastAsked() const { return std::get<Endpoint>(sent.back().to); }

    std::vector<Outgoing> sent;
    std::vector<std::string> taken;
    Fleet fleet;
    TimePoint now{std::chrono::seconds(100)};
    SnapshotController controller{
            {SnapshotStore{
                     [](std::uint64_t) {
                         return SnapshotPiece{{}, 0, 0, {"bundle"}};
                     },
                     [this](const SnapshotPiece &piece) { taken.push_back(piece.items.at(0)); }},
             {}},
            [this](Outgoing outgoing) { sent.push_back(std::move(outgoing)); },
    };
};

const Member selfNode = readyNode("n1", "yaba-hall", 1);
const Member farNode = readyNode("n2", "ikeja-hall", 2);
const Member nearNode = readyNode("n3", "yaba-hall", 3);

TEST(SnapshotController, AsksTheNearestReadyPeerPieceByPiece)
{
    StartingNode node({selfNode, farNode, nearNode});
    ASSERT_EQ(node.sent.size(), 1U);
    EXPECT_EQ(node.lastAsked(), nearNode.peers);
    node.hear(nearNode, {SnapshotSection::Bundle, 0, 5, {"first"}});
    ASSERT_EQ(node.sent.size(), 2U);
    EXPECT_EQ(std::get<SnapshotRequest>(node.sent.back().message.body).cursor, 5U);
    node.hear(nearNode, {SnapshotSection::Bundle, 5, 0, {"second"}});
    node.wait(milliseconds(1));
    EXPECT_EQ(node.taken, (std::vector<std::string>{"first", "second"}));
    EXPECT_TRUE(node.controller.warm());
}

// The peer that was asked dies before it answers, and its answer comes after another peer was
// asked. Waiting for it would leave the node cold; mixing both peers' pieces would leave holes.
TEST(SnapshotController, TurnsToAnotherPeerAndIgnoresTheLateAnswer)
{
    StartingNode node({selfNode, farNode, nearNode});
    node.wait(milliseconds(900));
    EXPECT_EQ(node.lastAsked(), farNode.peers);
    node.hear(nearNode, {SnapshotSection::Bundle, 0, 0, {"late"}});
    EXPECT_TRUE(node.taken.empty());
    node.hear(farNode, {SnapshotSection::Bundle, 0, 0, {"good"}});
    EXPECT_EQ(node.taken, std::vector<std::string>{"good"});
}

// All hosts are replaced at once and nobody has anything to give. A node that waited for a ready
// peer for good would never get ready.
TEST(SnapshotController, TheFirstNodeOfAFleetGoesOnAlone)
{
    StartingNode node({selfNode});
    node.wait(std::chrono::seconds(4));
    EXPECT_TRUE(node.controller.warm());
    EXPECT_TRUE(node.sent.empty());
}

// The log is down while a peer already has a newer bundle. Without asking, this node would go on
// under the old one for as long as the log is away.
TEST(SnapshotController, FetchesANewerBundleFromAPeer)
{
    StartingNode node({selfNode});
    node.wait(std::chrono::seconds(4));
    Member newer = nearNode;
    newer.bundleVersion = 9;
    node.fleet.members = {selfNode, newer};
    node.controller.contribute(node.fleet, node.now);
    node.wait(milliseconds(1100));
    ASSERT_EQ(node.sent.size(), 1U);
    EXPECT_EQ(node.lastAsked(), newer.peers);
    node.hear(newer, {SnapshotSection::Bundle, 0, 0, {"version 9"}});
    EXPECT_EQ(node.taken, std::vector<std::string>{"version 9"});
}

TEST(SnapshotController, AnswersARequestOnTheRouteItCameBy)
{
    StartingNode node({selfNode});
    node.controller.handle(
            PeerHeard{{nearNode, {}, {}, SnapshotRequest{SnapshotSection::Bundle, 0}}, {"r"}},
            node.now);
    ASSERT_EQ(node.sent.size(), 1U);
    EXPECT_EQ(std::get<ReplyRoute>(node.sent[0].to).identity, "r");
    EXPECT_EQ(std::get<SnapshotPiece>(node.sent[0].message.body).items.at(0), "bundle");
}

} // namespace
} // namespace vanilladyke
