#include "vanilladyke/policy/orders.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ModelId copy("copy");
constexpr LogOffset Offset = 7;
const TimePoint start{std::chrono::hours(1)};

HeldModel inWeights(const char *weights)
{
    return {copy, WeightsVersion(weights), {}};
}

/// A bundle that wants w2 on every engine, and the engines as they are before it.
struct Roll
{
    explicit Roll(std::size_t engineCount, std::uint32_t loadsAtOnce = 2)
    {
        bundle.models.push_back({copy, WeightsVersion("w2"), {}});
        bundle.limits.loadsAtOnce = loadsAtOnce;
        for (std::size_t i = 0; i < engineCount; ++i) {
            EngineEntry entry;
            entry.id = EngineId("e" + std::to_string(i));
            entry.models = {copy};
            bundle.engines.push_back(entry);
            EngineHolding holding;
            holding.reachable = true;
            holding.held = {inWeights("w1")};
            engines.push_back(holding);
        }
    }

    std::vector<EngineId> change()
    {
        inService = nextInService(bundle, engines, inService);
        return enginesToChange(bundle, Offset, engines, inService);
    }

    EngineHolding &holding(const EngineId &id)
    {
        const auto found = std::find_if(bundle.engines.begin(), bundle.engines.end(),
                                        [&](const EngineEntry &each) { return each.id == id; });
        return engines.at(static_cast<std::size_t>(found - bundle.engines.begin()));
    }

    [[nodiscard]] std::ptrdiff_t serving(const std::vector<EngineId> &changing) const
    {
        std::ptrdiff_t count = 0;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto &held = engines[i].held;
            const bool current = !held.empty() && held[0].weights == inService.at(copy);
            const bool changes = std::find(changing.begin(), changing.end(), bundle.engines[i].id)
                                 != changing.end();
            count += engines[i].reachable && current && !changes ? 1 : 0;
        }
        return count;
    }

    Bundle bundle;
    std::vector<EngineHolding> engines;
    WeightsInService inService{{copy, WeightsVersion("w1")}};
};

// New weights for a model that two engines serve. Were both to load at once, every request would
// wait for a loading time or be refused.
TEST(Orders, TheLastReadyEngineIsKeptUntilAnotherHasTheNewWeights)
{
    Roll roll(2);
    const std::vector<EngineId> first = roll.change();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(roll.inService.at(copy), WeightsVersion("w1"));
    roll.holding(first[0]).held = {inWeights("w2")};
    const std::vector<EngineId> second = roll.change();
    EXPECT_EQ(roll.inService.at(copy), WeightsVersion("w2"));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(first[0], second[0]);
}

TEST(Orders, TheOnlyEngineOfAModelIsChangedAllTheSame)
{
    Roll roll(1);
    EXPECT_EQ(roll.change().size(), 1U);
}

// The engine that had brought the new weights crashes. A caller that was answered from them must
// not be answered from the old ones after that.
TEST(Orders, WeightsInServiceNeverGoBack)
{
    Roll roll(3);
    const EngineId first = roll.change().at(0);
    roll.holding(first).held = {inWeights("w2")};
    static_cast<void>(roll.change());
    roll.holding(first).reachable = false;
    static_cast<void>(roll.change());
    EXPECT_EQ(roll.inService.at(copy), WeightsVersion("w2"));
}

TEST(Orders, AnEngineThatIsLeavingOrAwayIsNotTaken)
{
    Roll roll(3);
    roll.engines[0].leaving = true;
    roll.engines[1].reachable = false;
    EXPECT_TRUE(roll.change().empty()) << "the third is the last that serves";
}

RC_GTEST_PROP(Orders, ARollEndsWithinThePaceAndNeverStopsTheModel, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 24);
    const auto pace = *rc::gen::inRange<std::uint32_t>(1, 4);
    Roll roll(count, pace);
    for (std::size_t round = 0; round < 2 * count; ++round) {
        const std::vector<EngineId> changing = roll.change();
        RC_ASSERT(changing.size() <= pace);
        RC_ASSERT(roll.serving(changing) >= 1);
        if (changing.empty()) {
            break;
        }
        // Any one of them is done first.
        const auto done = *rc::gen::inRange<std::size_t>(0, changing.size());
        for (const EngineId &engine : changing) {
            roll.holding(engine).loading = {inWeights("w2")};
        }
        roll.holding(changing[done]).loading.clear();
        roll.holding(changing[done]).held = {inWeights("w2")};
    }
    RC_ASSERT(roll.change().empty());
    for (const EngineHolding &engine : roll.engines) {
        RC_ASSERT(engine.held == std::vector{inWeights("w2")});
    }
}

TEST(Orders, AllNodesNameTheSameOrdererWhateverTheirOrderOfNodes)
{
    const std::vector<NodeId> nodes{NodeId("n1"), NodeId("n2"), NodeId("n3")};
    std::map<NodeId, int> engines;
    for (int i = 0; i < 60; ++i) {
        const EngineId engine("e" + std::to_string(i));
        const auto orderer = ordererOf(engine, nodes);
        EXPECT_EQ(orderer, ordererOf(engine, {nodes.rbegin(), nodes.rend()}));
        ++engines[*orderer];
    }
    EXPECT_EQ(engines.size(), 3U);
    EXPECT_FALSE(ordererOf(EngineId("e"), {}).has_value());
}

class OrderPlanTest : public testing::Test
{
protected:
    std::vector<EngineOrder> due(TimePoint now)
    {
        const WallTime wall{now.time_since_epoch()};
        return m_plan.due(m_roll.bundle, Offset, m_roll.engines, m_roll.change(), {NodeId("n1")},
                          now, wall);
    }

    Roll m_roll{1};
    OrderPlan m_plan{NodeId("n1")};
};

TEST_F(OrderPlanTest, AnEngineFinishesItsRequestsFirstButNotForEver)
{
    m_roll.engines[0].busy = 3;
    EXPECT_TRUE(due(start).empty());
    EXPECT_TRUE(due(start + seconds(9)).empty());
    EXPECT_EQ(due(start + seconds(10)).size(), 1U);
}

TEST_F(OrderPlanTest, AnOrderThatIsFollowedIsNotRepeated)
{
    const std::vector<EngineOrder> orders = due(start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].fencing, Offset);
    EXPECT_EQ(orders[0].models, std::vector{inWeights("w2")});
    EXPECT_TRUE(due(start + milliseconds(100)).empty());
    m_roll.engines[0].loading = {inWeights("w2")};
    EXPECT_TRUE(due(start + seconds(5)).empty());
}

// A node was paused with an order in hand, and sends it after a newer one. The engine ignores
// fencing numbers and takes it: the customer would get answers from older weights.
TEST_F(OrderPlanTest, AnEngineThatTookAnOldOrderIsOrderedAgain)
{
    const std::vector<EngineOrder> first = due(start);
    m_roll.engines[0].held = {inWeights("w2")};
    EXPECT_TRUE(due(start + seconds(1)).empty());
    m_roll.engines[0].held = {inWeights("w1")};
    const std::vector<EngineOrder> again = due(start + seconds(2));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].sequence, first.at(0).sequence);
}

TEST_F(OrderPlanTest, AnotherNodesEngineIsLeftToIt)
{
    const std::vector<NodeId> nodes{NodeId("n1"), NodeId("n2")};
    int sent = 0;
    for (const char *self : {"n1", "n2"}) {
        OrderPlan plan{NodeId(self)};
        sent += static_cast<int>(plan.due(m_roll.bundle, Offset, m_roll.engines, m_roll.change(),
                                          nodes, start, WallTime())
                                         .size());
    }
    EXPECT_EQ(sent, 1);
}

} // namespace
} // namespace vanilladyke
