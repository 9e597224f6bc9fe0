#include "vanilladyke/policy/kept_cache_view.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(KeptCacheView, KnowsPartsUnderTheirSaltOnly)
{
    KeptCacheView view;
    view.reset(KeptCacheState::Followed);
    const std::string first = cacheSalt(ModelId("m"), 1, {});
    view.changed(first, "p", 800);
    EXPECT_TRUE(view.holds(first, "p"));
    EXPECT_FALSE(view.holds(cacheSalt(ModelId("m"), 2, {}), "p"));
    EXPECT_FALSE(view.holds(cacheSalt(ModelId("m"), 1, CustomerId("walled")), "p"));
    view.changed(first, "p", 0);
    EXPECT_FALSE(view.holds(first, "p"));
}

// The store restarts and comes back empty. Requests sent there for their parts would wait in vain.
TEST(KeptCacheView, AStoreThatBeginsAnewHoldsNothing)
{
    KeptCacheView view;
    view.reset(KeptCacheState::Followed);
    view.changed("s", "p", 800);
    view.reset(KeptCacheState::Followed);
    EXPECT_FALSE(view.mayHold("s", "p"));
    view.reset(KeptCacheState::Unknown);
    EXPECT_TRUE(view.mayHold("s", "p")) << "asking a store that is there costs a millisecond";
    view.reset(KeptCacheState::Down);
    EXPECT_FALSE(view.mayHold("s", "p")) << "asking one that is down costs hundreds";
}

TEST(KeptCacheView, ItsSizeIsBounded)
{
    KeptCacheView view;
    for (std::size_t i = 0; i < KeptCacheView::MostParts + 100; ++i) {
        view.changed("s", std::to_string(i), 1);
    }
    EXPECT_EQ(view.size(), KeptCacheView::MostParts);
}

} // namespace
} // namespace vanilladyke
