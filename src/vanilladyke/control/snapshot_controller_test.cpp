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

/// A starting node that records the messages it sent and the pieces it merged.
struct StartingNode
{
    explicit StartingNode(std::vector<Member> members)
    {
        fleet.members = std::move(members);
        controller.contribute(fleet, now);
        controller.handle(Tick{}, now);
    }

    void receive(const Member &from, const SnapshotPiece &piece)
    {
        controller.handle(PeerMessageReceived{{from, {}, {}, piece}, {}}, now);
    }

    void wait(Duration span)
    {
        now += span;
        controller.handle(Tick{}, now);
    }

    [[nodiscard]] const Endpoint &lastAsked() const { return std::get<Endpoint>(sent.back().to); }

    std::vector<Outgoing> sent;
    std::vector<std::string> merged;
    Fleet fleet;
    TimePoint now{std::chrono::seconds(100)};
    SnapshotController controller{
            {SnapshotStore{
                     [](std::uint64_t) {
                         return SnapshotPiece{{}, 0, 0, {"bundle"}};
                     },
                     [this](const SnapshotPiece &piece) { merged.push_back(piece.items.at(0)); }},
             {}},
            [this](Outgoing outgoing) { sent.push_back(std::move(outgoing)); },
    };
};

const Member selfNode = readyNode("n1", "yaba-hall", 1);
const Member farNode = readyNode("n2", "ikeja-hall", 2);
const Member nearNode = readyNode("n3", "yaba-hall", 3);

TEST(SnapshotController, FetchesPiecesFromTheNearestReadyPeer)
{
    StartingNode node({selfNode, farNode, nearNode});
    ASSERT_EQ(node.sent.size(), 1U);
    EXPECT_EQ(node.lastAsked(), nearNode.peers);
    node.receive(nearNode, {SnapshotSection::Bundle, 0, 5, {"first"}});
    ASSERT_EQ(node.sent.size(), 2U);
    EXPECT_EQ(std::get<SnapshotRequest>(node.sent.back().message.body).cursor, 5U);
    node.receive(nearNode, {SnapshotSection::Bundle, 5, 0, {"second"}});
    node.wait(milliseconds(1));
    EXPECT_EQ(node.merged, (std::vector<std::string>{"first", "second"}));
    EXPECT_TRUE(node.controller.isComplete());
}

// Guards against waiting for a peer that does not answer, which would leave the cache view empty,
// and against accepting its late answer after another peer was asked, which would leave gaps.
TEST(SnapshotController, AsksAnotherPeerAfterTimeoutAndIgnoresTheLateAnswer)
{
    StartingNode node({selfNode, farNode, nearNode});
    node.wait(milliseconds(900));
    EXPECT_EQ(node.lastAsked(), farNode.peers);
    node.receive(nearNode, {SnapshotSection::Bundle, 0, 0, {"late"}});
    EXPECT_TRUE(node.merged.empty());
    node.receive(farNode, {SnapshotSection::Bundle, 0, 0, {"good"}});
    EXPECT_EQ(node.merged, std::vector<std::string>{"good"});
}

// Guards against waiting for a ready peer without limit: when all hosts are replaced at once there
// is none, and no node would become ready.
TEST(SnapshotController, FirstNodeOfAFleetStartsWithoutPeers)
{
    StartingNode node({selfNode});
    node.wait(std::chrono::seconds(4));
    EXPECT_TRUE(node.controller.isComplete());
    EXPECT_TRUE(node.sent.empty());
}

// Guards against running with an old bundle for as long as the log is down although a peer has a
// newer one.
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
    node.receive(newer, {SnapshotSection::Bundle, 0, 0, {"version 9"}});
    EXPECT_EQ(node.merged, std::vector<std::string>{"version 9"});
}

TEST(SnapshotController, AnswersARequestOnItsReplyRoute)
{
    StartingNode node({selfNode});
    node.controller.handle(
            PeerMessageReceived{{nearNode, {}, {}, SnapshotRequest{SnapshotSection::Bundle, 0}},
                                {"r"}},
            node.now);
    ASSERT_EQ(node.sent.size(), 1U);
    EXPECT_EQ(std::get<ReplyRoute>(node.sent[0].to).identity, "r");
    EXPECT_EQ(std::get<SnapshotPiece>(node.sent[0].message.body).items.at(0), "bundle");
}

} // namespace
} // namespace vanilladyke
