#include "vanilladyke/control/snapshot_stores.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr std::size_t ViewBytes = 1U << 20U;

PrefixChain chainOf(std::uint64_t number)
{
    return {{{mixBits(number), mixBits(~number)}, 64}};
}

/// A cache view and the controller that writes it.
struct Node
{
    SharedCacheView view{ViewBytes};
    CacheController controller{view};
    SnapshotStore store = cacheViewStore(view, controller);
};

// Guards against an incomplete transfer of the cache view to a restarted node: the first requests
// of each missing prefix would go to engines that have to prefill it again.
TEST(SnapshotStores, TransfersTheWholeCacheViewInPieces)
{
    constexpr std::uint64_t Prefixes = 3500;
    Node warm;
    const EngineKey engine = engineKeyOf(EngineId("copy-1"));
    for (std::uint64_t i = 0; i < Prefixes; ++i) {
        warm.controller.mergeEntry({engine, Incarnation{3}, chainOf(i)[0].hash, {}},
                                   MonotonicClock::now());
    }
    Node cold;
    std::uint64_t cursor = 0;
    do {
        const SnapshotPiece piece = warm.store.write(cursor);
        EXPECT_LE(piece.items.size(), CacheEntriesPerPiece);
        cold.store.read(piece);
        cursor = piece.nextCursor;
    } while (cursor != 0);
    const TimePoint now = MonotonicClock::now();
    for (std::uint64_t i = 0; i < Prefixes; ++i) {
        EXPECT_EQ(cold.view.holders(chainOf(i), now).size(),
                  warm.view.holders(chainOf(i), now).size());
    }
    EXPECT_EQ(cold.view.holders(chainOf(1), now).size(), 1U);
}

// Guards against accepting a peer's entries of an engine's former incarnation: requests would go to
// an engine that restarted with an empty cache.
TEST(SnapshotStores, EntriesOfAnOlderIncarnationAreIgnored)
{
    Node node;
    const EngineKey engine = engineKeyOf(EngineId("copy-1"));
    const TimePoint now = MonotonicClock::now();
    node.controller.mergeEntry({engine, Incarnation{4}, chainOf(1)[0].hash, {}}, now);
    node.controller.mergeEntry({engine, Incarnation{3}, chainOf(2)[0].hash, {}}, now);
    EXPECT_EQ(node.view.holders(chainOf(1), now).size(), 1U);
    EXPECT_TRUE(node.view.holders(chainOf(2), now).empty());
}

} // namespace
} // namespace vanilladyke
