#include "vanilladyke/policy/relay_nodes.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId testedService("s");
constexpr std::uint64_t Here = 1;
constexpr std::uint64_t There = 2;

Endpoint relay(int number)
{
    return {"10.0.0." + std::to_string(number), 7000};
}

class RelayNodesTest : public ::testing::Test
{
protected:
    void see(int number, std::uint64_t centre, std::vector<std::uint64_t> unreached = {})
    {
        m_nodes.nodeSeen(static_cast<std::uint64_t>(number), centre, relay(number),
                         std::move(unreached), m_now);
    }
    std::optional<RelayNode> choose(const std::vector<Endpoint> &exclude = {})
    {
        return m_nodes.choose(testedService, exclude, m_random, m_now);
    }

    RelayNodes m_nodes{Here};
    Random m_random{1};
    TimePoint m_now{std::chrono::hours(1)};
};

TEST_F(RelayNodesTest, PrefersItsOwnDataCentreAndLeavesItIfNoneThereCan)
{
    see(1, There);
    see(2, Here);
    EXPECT_EQ(choose()->endpoint, relay(2));
    EXPECT_EQ(choose({relay(2)})->endpoint, relay(1));
}

// Nodes that are cut off, too, would hand the request back.
TEST_F(RelayNodesTest, AsksNoNodeThatDoesNotReachTheServiceItself)
{
    see(1, Here, {hashOfName("s")});
    EXPECT_FALSE(choose());
    see(1, Here, {hashOfName("other")});
    EXPECT_TRUE(choose());
}

TEST_F(RelayNodesTest, AsksNoNodeOfABuildThatTakesNoRequestsOfOthers)
{
    m_nodes.nodeSeen(1, Here, std::nullopt, {}, m_now);
    EXPECT_FALSE(choose());
}

// A node that ended or is frozen would cost each request a time-out.
TEST_F(RelayNodesTest, PausesANodeThatFailedAndForgetsASilentOne)
{
    see(1, Here);
    m_nodes.failed(relay(1), m_now);
    EXPECT_FALSE(choose());
    m_now += RelayNodes::FailurePause;
    EXPECT_TRUE(choose());
    m_now += RelayNodes::SeenTimeout + milliseconds(1);
    EXPECT_FALSE(choose());
}

// Load pattern: six of nine nodes are cut off and hand all their requests to the other three.
TEST_F(RelayNodesTest, SpreadsRequestsOverTheNodesThatCanTakeThem)
{
    constexpr int Nodes = 3;
    for (int number = 1; number <= Nodes; ++number) {
        see(number, Here);
    }
    std::map<Endpoint, int> open;
    for (int i = 0; i < 90; ++i) {
        const auto chosen = choose();
        ASSERT_TRUE(chosen);
        m_nodes.sent(chosen->endpoint);
        ++open[chosen->endpoint];
    }
    for (const auto &[endpoint, count] : open) {
        EXPECT_GE(count, 20) << endpoint.str();
    }
}

TEST_F(RelayNodesTest, HandsOneNodeABoundedNumberOfOpenRequests)
{
    see(1, Here);
    for (int i = 0; i < RelayNodes::MaxOpenPerNode; ++i) {
        m_nodes.sent(choose()->endpoint);
    }
    EXPECT_FALSE(choose());
    m_nodes.ended(relay(1));
    EXPECT_TRUE(choose());
}

} // namespace
} // namespace vanilladyke
