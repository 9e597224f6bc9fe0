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

/// A bundle that requires w2 on every engine, and the engines in their state before it.
struct Rollout
{
    explicit Rollout(std::size_t engineCount, std::uint32_t loadsAtOnce = 2)
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

// New weights for a model that two engines serve. Guards against both loading at once: every
// request would wait for the load to finish or be refused.
TEST(Orders, TheLastReadyEngineIsKeptUntilAnotherHasTheNewWeights)
{
    Rollout rollout(2);
    const std::vector<EngineId> first = rollout.change();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(rollout.inService.at(copy), WeightsVersion("w1"));
    rollout.holding(first[0]).held = {inWeights("w2")};
    const std::vector<EngineId> second = rollout.change();
    EXPECT_EQ(rollout.inService.at(copy), WeightsVersion("w2"));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(first[0], second[0]);
}

TEST(Orders, TheOnlyEngineOfAModelIsChangedAnyway)
{
    Rollout rollout(1);
    EXPECT_EQ(rollout.change().size(), 1U);
}

// The only engine with the new weights crashes. Guards against a caller that is answered from old
// weights after an answer from the new ones.
TEST(Orders, WeightsInServiceNeverGoBack)
{
    Rollout rollout(3);
    const EngineId first = rollout.change().at(0);
    rollout.holding(first).held = {inWeights("w2")};
    static_cast<void>(rollout.change());
    rollout.holding(first).reachable = false;
    static_cast<void>(rollout.change());
    EXPECT_EQ(rollout.inService.at(copy), WeightsVersion("w2"));
}

TEST(Orders, AnEngineThatIsLeavingOrUnreachableIsNotSelected)
{
    Rollout rollout(3);
    rollout.engines[0].leaving = true;
    rollout.engines[1].reachable = false;
    EXPECT_TRUE(rollout.change().empty()) << "the third is the last one that serves";
}

RC_GTEST_PROP(Orders, ARolloutCompletesWithinTheLimitAndNeverStopsTheModel, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 24);
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 4);
    Rollout rollout(count, limit);
    for (std::size_t round = 0; round < 2 * count; ++round) {
        const std::vector<EngineId> changing = rollout.change();
        RC_ASSERT(changing.size() <= limit);
        RC_ASSERT(rollout.serving(changing) >= 1);
        if (changing.empty()) {
            break;
        }
        // A random one of them completes first.
        const auto done = *rc::gen::inRange<std::size_t>(0, changing.size());
        for (const EngineId &engine : changing) {
            rollout.holding(engine).loading = {inWeights("w2")};
        }
        rollout.holding(changing[done]).loading.clear();
        rollout.holding(changing[done]).held = {inWeights("w2")};
    }
    RC_ASSERT(rollout.change().empty());
    for (const EngineHolding &engine : rollout.engines) {
        RC_ASSERT(engine.held == std::vector{inWeights("w2")});
    }
}

TEST(Orders, AllNodesSelectTheSameOrdererInAnyOrderOfNodes)
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
        return m_plan.due(m_rollout.bundle, Offset, m_rollout.engines, m_rollout.change(),
                          {NodeId("n1")}, now, wall);
    }

    Rollout m_rollout{1};
    OrderPlan m_plan{NodeId("n1")};
};

TEST_F(OrderPlanTest, AnEngineDrainsBeforeItsOrderForALimitedTime)
{
    m_rollout.engines[0].busy = 3;
    EXPECT_TRUE(due(start).empty());
    EXPECT_TRUE(due(start + seconds(9)).empty());
    EXPECT_EQ(due(start + seconds(10)).size(), 1U);
}

TEST_F(OrderPlanTest, AnOrderInExecutionIsNotRepeated)
{
    const std::vector<EngineOrder> orders = due(start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].fencing, Offset);
    EXPECT_EQ(orders[0].models, std::vector{inWeights("w2")});
    EXPECT_TRUE(due(start + milliseconds(100)).empty());
    m_rollout.engines[0].loading = {inWeights("w2")};
    EXPECT_TRUE(due(start + seconds(5)).empty());
}

// A node that was paused before it sent an order sends it after a newer one, and the engine ignores
// fencing numbers and executes it. Guards against answers to the customer from older weights.
TEST_F(OrderPlanTest, AnEngineThatExecutedAnOldOrderIsOrderedAgain)
{
    const std::vector<EngineOrder> first = due(start);
    m_rollout.engines[0].held = {inWeights("w2")};
    EXPECT_TRUE(due(start + seconds(1)).empty());
    m_rollout.engines[0].held = {inWeights("w1")};
    const std::vector<EngineOrder> again = due(start + seconds(2));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].sequence, first.at(0).sequence);
}

TEST_F(OrderPlanTest, OnlyOneNodeOrdersAnEngine)
{
    const std::vector<NodeId> nodes{NodeId("n1"), NodeId("n2")};
    int sent = 0;
    for (const char *self : {"n1", "n2"}) {
        OrderPlan plan{NodeId(self)};
        sent += static_cast<int>(plan.due(m_rollout.bundle, Offset, m_rollout.engines,
                                          m_rollout.change(), nodes, start, WallTime())
                                         .size());
    }
    EXPECT_EQ(sent, 1);
}

} // namespace
} // namespace vanilladyke
