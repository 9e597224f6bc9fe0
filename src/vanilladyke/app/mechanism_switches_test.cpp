#include "vanilladyke/app/mechanism_switches.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

std::string settingsWith(const std::string &more)
{
    return R"({"node": "n", "address": "127.0.0.1", "data_centre": "a", "callers": "127.0.0.1:1",
               "ready": "127.0.0.1:2", "store": "127.0.0.1:3", "peers": "127.0.0.1:4")"
           + more + "}";
}

TEST(MechanismSwitches, AllMechanismsAreOnByDefault)
{
    const auto settings = parseNodeSettings(settingsWith(""));
    ASSERT_TRUE(settings);
    EXPECT_TRUE(settings->traffic.rates.countsPeerLoad);
    EXPECT_TRUE(settings->traffic.rates.usesPlacementUpdates);
    EXPECT_TRUE(settings->follow.sharesStoreReads);
}

TEST(MechanismSwitches, AcceptsEveryName)
{
    for (const MechanismName &each : MechanismNames) {
        const std::string off = R"(, "off": [")" + std::string(each.name) + R"("])";
        EXPECT_TRUE(parseNodeSettings(settingsWith(off))) << each.name;
    }
}

// Guards against a misspelled name that is silently ignored: the mechanism would stay on, and a
// measurement would show no effect of switching it off.
TEST(MechanismSwitches, ReportsEachUnknownNameAsAnError)
{
    const auto settings = parseNodeSettings(settingsWith(R"(, "off": ["homs", "pace", "urgncy"])"));
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().size(), 2U);
}

TEST(MechanismSwitches, DisabledMechanismsHaveNoEffect)
{
    const auto settings =
            parseNodeSettings(settingsWith(R"(, "off": ["copy_charge", "shared_reading"])"));
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->traffic.rates.copyPenalty, 0);
    EXPECT_FALSE(settings->follow.sharesStoreReads);
}

} // namespace
} // namespace vanilladyke
