#include "vanilladyke/node/store_calls.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

// Guards against calls that are counted under a wrong label: when the cost of the store rises, an
// operator looks up which node calls for which topic, and why it doesn't ask another node.
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
