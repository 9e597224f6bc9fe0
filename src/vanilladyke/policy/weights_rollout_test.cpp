#include "vanilladyke/policy/weights_rollout.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

std::vector<RolloutEngine> fleet(std::size_t size, std::uint64_t version)
{
    std::vector<RolloutEngine> engines;
    for (std::size_t i = 0; i < size; ++i) {
        engines.push_back({EngineId("e" + std::to_string(i)), version, static_cast<int>(i)});
    }
    return engines;
}

// Guards against all engines loading at once when new weights are announced under load: none would
// serve, and the loads would slow each other down.
TEST(WeightsRollout, OnlyAFractionOfTheFleetLoadsAtOnce)
{
    WeightsRollout rollout;
    rollout.setTarget(2, at(0));
    auto engines = fleet(18, 1);
    const auto first = rollout.enginesToOrder(engines, at(0));
    ASSERT_EQ(first.size(), 3U);
    for (const EngineId &id : first) {
        rollout.reserve(id);
    }
    EXPECT_TRUE(rollout.enginesToOrder(engines, at(100)).empty());
    rollout.orderEnded(first[0], true, at(2000));
    engines[0].version = 2;
    const auto next = rollout.enginesToOrder(engines, at(2000));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0], EngineId("e3"));
}

// Nine engines load in less than half a second, after draining streams of a second and a half.
// Guards against draining engines that count as loading: with two orders in progress at a time the
// rollout would take all of the allowed time, and answers on old weights have less value.
TEST(WeightsRollout, DrainingEnginesDoNotKeepOthersFromLoading)
{
    WeightsRollout rollout({milliseconds(8000)});
    rollout.setTarget(2, at(0));
    auto engines = fleet(9, 1);
    std::map<EngineId, int> orderedAt;
    int end = 0;
    for (int now = 0; now < 8000 && rollout.isPending(engines); now += 50) {
        for (const EngineId &id : rollout.enginesToOrder(engines, at(now))) {
            rollout.reserve(id);
            rollout.orderSent(id, at(now));
            orderedAt[id] = now;
        }
        EXPECT_LE(orderedAt.size(), 4U) << now;
        for (auto &engine : engines) {
            const auto order = orderedAt.find(engine.id);
            if (order == orderedAt.end()) {
                continue;
            }
            rollout.setDraining(engine.id, now - order->second < 1400);
            if (now - order->second >= 1800) {
                engine.version = 2;
                rollout.orderEnded(engine.id, true, at(now));
                orderedAt.erase(order);
                end = now;
            }
        }
    }
    EXPECT_FALSE(rollout.isPending(engines));
    EXPECT_LE(end, 5600);
}

// Guards against too many concurrent loads: beyond a fraction of the fleet, loads that take seconds
// slow each other down, so more orders gain nothing and remove engines that could serve.
TEST(WeightsRollout, LoadingEnginesAreLimitedToAFractionOfTheFleet)
{
    WeightsRollout rollout({milliseconds(15000)});
    rollout.setTarget(2, at(0));
    const auto engines = fleet(18, 1);
    for (const EngineId &id : rollout.enginesToOrder(engines, at(0))) {
        rollout.reserve(id);
        rollout.setDraining(id, false);
    }
    EXPECT_TRUE(rollout.enginesToOrder(engines, at(1000)).empty());
}

TEST(WeightsRollout, EnginesOnTheOldestWeightsAreOrderedFirst)
{
    WeightsRollout rollout;
    rollout.setTarget(3, at(0));
    auto engines = fleet(3, 2);
    engines[2].version = 1;
    EXPECT_EQ(rollout.enginesToOrder(engines, at(0)).front(), EngineId("e2"));
}

// Guards against a crashed engine that fails every order and occupies a slot that others need.
TEST(WeightsRollout, AnEngineThatFailedItsOrderIsRetriedBehindTheOthers)
{
    WeightsRollout rollout;
    rollout.setTarget(2, at(0));
    const auto engines = fleet(4, 1);
    const auto first = rollout.enginesToOrder(engines, at(0));
    ASSERT_EQ(first.size(), 2U);
    rollout.reserve(first[0]);
    rollout.orderEnded(first[0], false, at(10));
    const auto next = rollout.enginesToOrder(engines, at(20));
    ASSERT_EQ(next.size(), 2U);
    EXPECT_EQ(next[0], EngineId("e1"));
    EXPECT_EQ(rollout.enginesToOrder(engines, at(500)).front(), EngineId("e1"));
    EXPECT_EQ(rollout.enginesToOrder({engines[0]}, at(300)).size(), 0U)
            << "it is still in back-off";
    EXPECT_EQ(rollout.enginesToOrder({engines[0]}, at(500)).front(), EngineId("e0"));
}

// Guards against engines that failed one order and are then passed over for each newer version, so
// that they stay on the first version permanently.
TEST(WeightsRollout, EnginesThatFailedAnOrderAreNotSkippedByNewerVersions)
{
    constexpr int OrderDurationMs = 4500;
    constexpr int AnnounceInterval = 5500;
    constexpr int TimeoutMs = 600;
    constexpr int Unreachable = 12;
    constexpr int ReachableFrom = 4000;
    WeightsRollout rollout({milliseconds(10000)});
    auto engines = fleet(60, 1);
    std::map<EngineId, int> orderedAt;
    for (int now = 0; now < 22000; now += 50) {
        if (now % AnnounceInterval == 0) {
            rollout.setTarget(static_cast<std::uint64_t>(now) / AnnounceInterval + 2, at(now));
        }
        for (const EngineId &id : rollout.enginesToOrder(engines, at(now))) {
            rollout.reserve(id);
            rollout.orderSent(id, at(now));
            orderedAt[id] = now;
        }
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto order = orderedAt.find(engines[i].id);
            if (order == orderedAt.end()) {
                continue;
            }
            const bool isLost = i < Unreachable && order->second < ReachableFrom;
            rollout.setDraining(order->first,
                                !isLost && now - order->second < OrderDurationMs - 400);
            if (now - order->second >= (isLost ? TimeoutMs : OrderDurationMs)) {
                engines[i].version = isLost ? engines[i].version : rollout.target();
                rollout.orderEnded(order->first, !isLost, at(now));
                orderedAt.erase(order);
            }
        }
    }
    EXPECT_EQ(std::count_if(engines.begin(), engines.end(),
                            [](const RolloutEngine &each) { return each.version == 1; }),
              0);
}

// Guards against a rollout that misses its deadline because engines first drain streams of three to
// five seconds, and orders for the previous version occupy the slots when a newer one is announced.
TEST(WeightsRollout, ManySlowEnginesMeetTheDeadlineWhileAnOlderRolloutIsInProgress)
{
    constexpr int Allowed = 10000;
    constexpr int NewestAt = 5500;
    /// Time from the newer announcement until all engines have it.
    constexpr int AllowedForAll = 14000;
    WeightsRollout rollout({milliseconds(Allowed)});
    rollout.setTarget(2, at(0));
    auto engines = fleet(60, 1);
    struct Order
    {
        int at = 0;
        std::uint64_t version = 0;
    };
    std::map<EngineId, Order> orders;
    for (int now = 0; now < NewestAt + AllowedForAll; now += 50) {
        if (now == NewestAt) {
            rollout.setTarget(3, at(now));
        }
        for (const EngineId &id : rollout.enginesToOrder(engines, at(now))) {
            rollout.reserve(id);
            rollout.orderSent(id, at(now));
            orders[id] = {now, rollout.target()};
        }
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto order = orders.find(engines[i].id);
            if (order == orders.end()) {
                continue;
            }
            const int takes = 3000 + static_cast<int>(i * 37 % 20) * 100;
            const int passed = now - order->second.at;
            rollout.setDraining(order->first, passed < takes - 430);
            if (passed >= takes) {
                engines[i].version = order->second.version;
                rollout.orderEnded(order->first, true, at(now));
                orders.erase(order);
            }
        }
    }
    EXPECT_FALSE(rollout.isPending(engines));
}

TEST(WeightsRollout, TheTargetVersionNeverDecreases)
{
    WeightsRollout rollout;
    rollout.setTarget(3, at(0));
    rollout.setTarget(2, at(10));
    EXPECT_EQ(rollout.target(), 3U);
    EXPECT_FALSE(rollout.isPending(fleet(2, 3)));
    EXPECT_TRUE(rollout.isPending(fleet(2, 2)));
}

} // namespace
} // namespace vanilladyke
