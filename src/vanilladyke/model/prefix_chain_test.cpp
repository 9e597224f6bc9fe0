#include "vanilladyke/model/prefix_chain.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace vanilladyke {
namespace {

ChainScope scope(const std::string &customer, const std::string &weights)
{
    return {CustomerId(customer), ModelId("copy"), WeightsVersion(weights)};
}

PrefixChain chainOf(const ChainScope &scope, const std::vector<std::string> &messages)
{
    const std::vector<std::string_view> views(messages.begin(), messages.end());
    return buildPrefixChain(scope, views);
}

TEST(PrefixChain, SharesCutsAsFarAsThePromptsAgree)
{
    const std::string guide(5000, 'g');
    const PrefixChain a = chainOf(scope("brand", "w1"), {guide, "draft a"});
    const PrefixChain b = chainOf(scope("brand", "w1"), {guide, "draft b"});
    ASSERT_EQ(a.size(), 4U);
    EXPECT_EQ(a[2], b[2]);
    EXPECT_NE(a[3].hash, b[3].hash);
    EXPECT_EQ(a[2].tokens, 1250U);
}

RC_GTEST_PROP(PrefixChain, NeverNamesAnotherCustomersWorkOrOlderWeights,
              (const std::vector<std::string> &messages))
{
    const PrefixChain own = chainOf(scope("a", "w2"), messages);
    const PrefixChain foreign = chainOf(scope("b", "w2"), messages);
    const PrefixChain older = chainOf(scope("a", "w1"), messages);
    for (std::size_t i = 0; i < own.size(); ++i) {
        RC_ASSERT(own[i].hash != foreign[i].hash);
        RC_ASSERT(own[i].hash != older[i].hash);
    }
}

RC_GTEST_PROP(ChainHash, HexReadsBackAsItself, (std::uint64_t high, std::uint64_t low))
{
    ChainHash read;
    RC_ASSERT(parseChainHash(ChainHash{high, low}.hex(), &read));
    RC_ASSERT(read == (ChainHash{high, low}));
}

TEST(ChainHash, RefusesTextThatIsNoHash)
{
    ChainHash read;
    EXPECT_FALSE(parseChainHash("", &read));
    EXPECT_FALSE(parseChainHash(std::string(32, 'z'), &read));
    EXPECT_FALSE(parseChainHash(std::string(31, 'a'), &read));
}

} // namespace
} // namespace vanilladyke
