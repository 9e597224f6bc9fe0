#include "vanilladyke/node/packed_record.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(PackedRecord, RoundTripsRecords)
{
    const std::string record = R"({"name": "a"})" + std::string(1, '\0') + "tail";
    EXPECT_EQ(unpackRecord(packRecord(record)), record);
    EXPECT_EQ(unpackRecord(packRecord("")), "");
}

TEST(PackedRecord, AConfigurationOfManyCustomersFitsInADatagram)
{
    std::string record;
    for (int i = 0; i < 400; ++i) {
        record += R"({"name": "customer)" + std::to_string(i * 7919) + R"(", "isolated": false},)";
    }
    EXPECT_LT(packRecord(record).size(), 6000U);
}

// Guards against a truncated or corrupted datagram, or one of another version, that is applied as a
// configuration which the operator never wrote.
TEST(PackedRecord, RejectsDamagedRecords)
{
    const std::string packed = packRecord("a record that is long enough to be compressed at all");
    EXPECT_FALSE(unpackRecord(""));
    EXPECT_FALSE(unpackRecord("abc"));
    EXPECT_FALSE(unpackRecord(packed.substr(0, packed.size() - 3)));
    std::string changed = packed;
    changed[8] = static_cast<char>(changed[8] ^ 0x55);
    EXPECT_FALSE(unpackRecord(changed));
    std::string huge = packed;
    huge[3] = '\x7f';
    EXPECT_FALSE(unpackRecord(huge));
}

} // namespace
} // namespace vanilladyke
