#include "vanilladyke/node/store_calls.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

// Calls to the store have a price. When it rises, an operator asks which node calls for what, and
// why it does not ask another node instead.
TEST(StoreCalls, EachCallIsCountedByKindTopicAndCause)
{
    Metrics metrics;
    StoreCalls calls(metrics);
    calls.count(StoreCall::List, StoreTopic::Nodes, CallCause::Start);
    calls.count(StoreCall::Read, StoreTopic::Backends, CallCause::OldProof);
    calls.count(StoreCall::Read, StoreTopic::Backends, CallCause::OldProof);
    EXPECT_EQ(calls.total(), 3U);
    EXPECT_EQ(
            metrics.counter(R"(store_calls_total{call="read",topic="backends",cause="old_proof"})"),
            2U);
    EXPECT_EQ(metrics.counter(R"(store_calls_total{call="list",topic="nodes",cause="start"})"), 1U);
}

} // namespace
} // namespace vanilladyke
