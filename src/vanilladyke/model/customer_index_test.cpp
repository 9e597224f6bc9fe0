#include "vanilladyke/model/customer_index.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(CustomerIndex, FindsByEveryKeyAndByIdAndNothingElse)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->customers.resize(2);
    bundle->customers[0].id = CustomerId("a");
    bundle->customers[0].keyDigests = {"d1", "d2"};
    bundle->customers[1].id = CustomerId("b");
    bundle->customers[1].keyDigests = {"d3"};
    const CustomerIndex index(bundle);
    ASSERT_NE(index.byKeyDigest("d2"), nullptr);
    EXPECT_EQ(index.byKeyDigest("d2")->id, CustomerId("a"));
    EXPECT_EQ(index.byKeyDigest("d3"), index.byId(CustomerId("b")));
    EXPECT_EQ(index.byKeyDigest(""), nullptr);
    EXPECT_EQ(index.byId(CustomerId("c")), nullptr);
}

} // namespace
} // namespace vanilladyke
