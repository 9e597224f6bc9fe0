#include "vanilladyke/control/claim_codec.hpp"

#include "vanilladyke/control/claims.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

ClaimKey anyKey()
{
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const WallTime time{std::chrono::milliseconds(*rc::gen::inRange(0, 1 << 30))};
    return {CustomerId("c" + *rc::gen::string<std::string>()), ServiceId("s"),
            newUuidV7(time, random)};
}

ClaimRecord anyRecord()
{
    const ClaimKey key = anyKey();
    const ClaimNonce nonce{ProcessId("p"), *rc::gen::inRange<std::uint64_t>(1, 1U << 30U)};
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return Claim{key, nonce, NodeId("n"), RequestDigest("d")};
    case 1:
        return ClaimRelease{key, nonce};
    default:
        return ClaimOutcome{key,
                            nonce,
                            *rc::gen::element(OutcomeKind::Answered, OutcomeKind::AnswerTooLarge,
                                              OutcomeKind::Unknown),
                            *rc::gen::inRange(0U, 1000U),
                            "text/plain",
                            *rc::gen::string<std::string>()};
    }
}

ClaimBatch anyBatch()
{
    ClaimBatch batch;
    const int size = *rc::gen::inRange(0, 20);
    for (int i = 0; i < size; ++i) {
        batch.push_back(anyRecord());
    }
    return batch;
}

RC_GTEST_PROP(ClaimCodec, EncodedBatchDecodesToItself, ())
{
    const ClaimBatch batch = anyBatch();
    const auto back = decodeClaims(encodeClaims(batch));
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == batch);
}

// Guards against a crash on a corrupt record or on one from another writer: the record stays in the
// log, so the node would crash again at every start.
RC_GTEST_PROP(ClaimCodec, ArbitraryBytesAreDecodedOrRefused, (const std::string &bytes))
{
    const auto batch = decodeClaims(bytes);
    RC_ASSERT(batch.has_value() || !batch.error().empty());
}

RC_GTEST_PROP(ClaimCodec, CorruptBatchIsDecodedOrRefused, ())
{
    std::string bytes = encodeClaims(anyBatch());
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes && !bytes.empty(); ++i) {
        bytes.at(*rc::gen::inRange<std::size_t>(0, bytes.size())) = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    if (const auto batch = decodeClaims(bytes)) {
        RC_ASSERT(decodeClaims(encodeClaims(*batch)).value() == *batch);
    }
}

// Guards against refusing a whole batch for one answer whose content type is not valid text: the
// claims of other calls in the same append would be lost, and those calls sent twice.
TEST(ClaimCodec, InvalidTextDoesNotInvalidateTheBatch)
{
    Random random(1);
    const ClaimKey key{CustomerId("\xD5"), ServiceId("s"), newUuidV7(WallTime(), random)};
    const ClaimBatch batch{ClaimOutcome{
            key, {ProcessId("p"), 1}, OutcomeKind::Answered, 200, "text/\xFF", "\xC0"}};
    EXPECT_EQ(decodeClaims(encodeClaims(batch)).value(), batch);
}

wire::ClaimRecord validRecord()
{
    Random random(1);
    wire::ClaimBatch batch;
    const ClaimKey key{CustomerId("c"), ServiceId("s"), newUuidV7(WallTime(), random)};
    batch.ParseFromString(encodeClaims(
            {ClaimOutcome{key, {ProcessId("p"), 1}, OutcomeKind::Answered, 200, "", ""}}));
    return batch.records(0);
}

bool decodes(const wire::ClaimRecord &record)
{
    wire::ClaimBatch batch;
    *batch.add_records() = record;
    return decodeClaims(batch.SerializeAsString()).has_value();
}

TEST(ClaimCodec, WrongSizesAndKindsAreRefused)
{
    ASSERT_TRUE(decodes(validRecord()));
    wire::ClaimRecord record = validRecord();
    record.mutable_key()->set_key("short");
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.mutable_key()->mutable_key()->at(6) = 0x40; // version 4
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.mutable_key()->set_customer(std::string(10'000, 'x'));
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.mutable_nonce()->set_sequence(0);
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.mutable_outcome()->set_body(std::string(MostAnswerBytes + 1, 'x'));
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.clear_body();
    EXPECT_FALSE(decodes(record));
    record = validRecord();
    record.mutable_claim();
    EXPECT_FALSE(decodes(record));
    EXPECT_FALSE(decodeClaims(std::string(5U << 20U, '\0')).has_value());
}

} // namespace
} // namespace vanilladyke
