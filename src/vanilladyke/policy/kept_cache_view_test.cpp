#include "vanilladyke/policy/kept_cache_view.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(KeptCacheView, KnowsPartsUnderTheirSaltOnly)
{
    KeptCacheView view;
    view.reset(true);
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
    view.reset(true);
    view.changed("s", "p", 800);
    view.reset(true);
    EXPECT_FALSE(view.holds("s", "p"));
    EXPECT_TRUE(view.isFollowed());
    view.reset(false);
    EXPECT_FALSE(view.isFollowed());
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
