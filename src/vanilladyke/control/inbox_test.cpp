#include "vanilladyke/control/inbox.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

// Engines report faster than the control thread takes the reports in, and the queue fills. A user
// would notice if a new bundle got lost in the flood; so only reports give way.
TEST(Inbox, DropsTheOldestSoftEventAndNeverABundle)
{
    Inbox inbox(2);
    inbox.post(BundleLogRead{});
    inbox.post(EngineReported{EngineId("a"), {}, {}, {}});
    inbox.post(EngineReported{EngineId("b"), {}, {}, {}});
    inbox.post(BundleLogRead{});
    inbox.post(BundleLogRead{});
    EXPECT_EQ(inbox.dropped(), 2U);
    for (int i = 0; i < 3; ++i) {
        const auto event = inbox.take(MonotonicClock::now());
        ASSERT_TRUE(event.has_value());
        EXPECT_TRUE(std::holds_alternative<BundleLogRead>(*event));
    }
    EXPECT_FALSE(inbox.take(MonotonicClock::now()).has_value());
}

} // namespace
} // namespace vanilladyke
