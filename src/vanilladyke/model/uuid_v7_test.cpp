#include "vanilladyke/model/uuid_v7.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

TEST(UuidV7, ReadsTheExampleOfItsStandard)
{
    const auto key = parseUuidV7("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key->time(), WallTime(milliseconds(1645557742000)));
    EXPECT_EQ(key->str(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
}

TEST(UuidV7, RefusesOtherVersionsVariantsAndForms)
{
    for (const char *text : {
                 "",
                 "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                 "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                 "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f",
                 "017f22e279b07cc398c4dc0c0c07398f",
                 "{017f22e2-79b0-7cc3-98c4-dc0c0c07398}",
                 "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0",
                 "017f22e2-79b0-7cc3-98c4-dc0c0c0739-8",
                 "017f22e2-79b0-7cc3-98c4-dc0c0c0739 8",
                 "017f22e2-79b0-7cc3-98c4-dc0c0c0739+8",
                 "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
         }) {
        EXPECT_FALSE(parseUuidV7(text).has_value()) << text;
    }
}

RC_GTEST_PROP(UuidV7, MadeKeysAreReadBackWithTheirTime, (std::uint64_t seed))
{
    const WallTime time{milliseconds(*rc::gen::inRange<std::int64_t>(0, 9'000'000'000'000))};
    Random random(seed);
    const UuidV7 key = newUuidV7(time, random);
    const auto back = parseUuidV7(key.str());
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == key);
    RC_ASSERT(back->time() == time);
}

RC_GTEST_PROP(UuidV7, AnyTextEitherReadsBackTheSameOrIsRefused, (const std::string &text))
{
    const auto key = parseUuidV7(text);
    RC_ASSERT(!key || key->str().size() == text.size());
}

RC_GTEST_PROP(UuidV7, AnyBytesHaveATimeOrAreRefused, ())
{
    const auto bytes = *rc::gen::arbitrary<UuidV7::Bytes>();
    const auto key = UuidV7::fromBytes(bytes);
    RC_ASSERT(!key || key->time() >= WallTime());
}

} // namespace
} // namespace vanilladyke
