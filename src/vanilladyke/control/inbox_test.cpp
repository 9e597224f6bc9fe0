#include "vanilladyke/control/inbox.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

// Guards against losing a bundle when engines report faster than the control thread handles reports
// and the queue is full: only reports may be dropped.
TEST(Inbox, DropsTheOldestDroppableEventAndNeverABundle)
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
