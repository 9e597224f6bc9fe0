#include "vanilladyke/policy/kept_cache_view.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const Endpoint storeHere{"10.0.0.1", 80};
const Endpoint storeThere{"10.0.0.2", 80};
const TimePoint start(std::chrono::hours(1));

KeptCacheView viewOf(KeptCacheState state)
{
    KeptCacheView view;
    view.setStores({{storeHere, DataCentreId("here")}});
    view.reset(storeHere, state);
    return view;
}

TEST(KeptCacheView, HoldsPartsUnderTheirSaltOnly)
{
    KeptCacheView view = viewOf(KeptCacheState::Followed);
    const std::string first = cacheSalt(ModelId("m"), 1, {});
    view.changed(storeHere, first, "p", 800);
    EXPECT_TRUE(view.holds(storeHere, first, "p", start));
    EXPECT_FALSE(view.holds(storeHere, cacheSalt(ModelId("m"), 2, {}), "p", start));
    EXPECT_FALSE(view.holds(storeHere, cacheSalt(ModelId("m"), 1, "walled"), "p", start));
    view.changed(storeHere, first, "p", 0);
    EXPECT_FALSE(view.holds(storeHere, first, "p", start));
}

// The store restarts and is empty. Guards against fetching parts that it no longer has.
TEST(KeptCacheView, AResetStoreHoldsNothing)
{
    KeptCacheView view = viewOf(KeptCacheState::Followed);
    view.changed(storeHere, "s", "p", 800);
    view.reset(storeHere, KeptCacheState::Followed);
    EXPECT_FALSE(view.holds(storeHere, "s", "p", start));
}

TEST(KeptCacheView, AStoreThatIsDownHoldsNothing)
{
    KeptCacheView view = viewOf(KeptCacheState::Unknown);
    view.recordSaved(KeptCacheView::keyOf("s", "p"), start);
    EXPECT_TRUE(view.holds(storeHere, "s", "p", start));
    view.reset(storeHere, KeptCacheState::Down);
    EXPECT_FALSE(view.holds(storeHere, "s", "p", start)) << "a request to it costs hundreds of ms";
    EXPECT_EQ(view.state(Endpoint{"10.9.9.9", 1}), KeptCacheState::Down);
}

// The store accepts eight followers out of seventy nodes. Guards against the others saving every
// part with every request, so that parts of single prompts evict the shared ones.
TEST(KeptCacheView, WithoutFollowingTheUpdatesOnSavedPartsApply)
{
    KeptCacheView view = viewOf(KeptCacheState::Unknown);
    EXPECT_FALSE(view.holds(storeHere, "s", "p", start));
    view.recordSaved(KeptCacheView::keyOf("s", "p"), start);
    EXPECT_TRUE(view.holds(storeHere, "s", "p", start));
    EXPECT_FALSE(view.holds(storeHere, "s", "p", start + KeptCacheView::SavedLifetime))
            << "it may have been evicted";
    view.reset(storeHere, KeptCacheState::Followed);
    EXPECT_FALSE(view.holds(storeHere, "s", "p", start))
            << "updates of nodes are ignored for a followed store";
}

// Each of three data centres has a store. A single store for all would have a third of the memory
// and link capacity, and keeping each part in all three would leave room for a third of the parts.
TEST(KeptCacheView, APartIsKeptInTheDataCentreOfItsPreferredEngine)
{
    KeptCacheView view;
    EXPECT_EQ(view.storeOf(DataCentreId("here")), nullptr);
    view.setStores({{storeThere, DataCentreId("there")}, {storeHere, DataCentreId("here")}});
    EXPECT_EQ(view.storeOf(DataCentreId("here"))->endpoint, storeHere);
    EXPECT_EQ(view.storeOf(DataCentreId("there"))->endpoint, storeThere);
    EXPECT_NE(view.storeOf(DataCentreId("elsewhere")), nullptr);
}

TEST(KeptCacheView, RemainingStoresKeepTheirState)
{
    KeptCacheView view = viewOf(KeptCacheState::Followed);
    view.changed(storeHere, "s", "p", 800);
    view.setStores({{storeThere, DataCentreId("there")}, {storeHere, DataCentreId("here")}});
    EXPECT_TRUE(view.holds(storeHere, "s", "p", start));
    EXPECT_EQ(view.state(storeThere), KeptCacheState::Unknown);
    view.setStores({});
    EXPECT_EQ(view.size(), 0U);
}

TEST(KeptCacheView, ItsSizeIsBounded)
{
    KeptCacheView view = viewOf(KeptCacheState::Followed);
    for (std::size_t i = 0; i < KeptCacheView::MaxParts + 100; ++i) {
        view.changed(storeHere, "s", std::to_string(i), 1);
    }
    EXPECT_EQ(view.size(), KeptCacheView::MaxParts);
}

} // namespace
} // namespace vanilladyke
