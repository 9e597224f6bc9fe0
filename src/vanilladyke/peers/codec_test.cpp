#include "vanilladyke/peers/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

Member memberOf(const std::string &node)
{
    Member member;
    member.node = NodeId(node);
    member.dataCentre = DataCentreId("yaba-hall");
    member.peers = {"127.0.0.1", 7001};
    member.operators = {"127.0.0.1", 7002};
    member.incarnation = Incarnation{1'700'000'000'000'000};
    member.revision = 3;
    member.phase = Phase::Leaving;
    member.liveness = Liveness::Suspect;
    member.bundleVersion = 12;
    return member;
}

TEST(Codec, ReadsBackWhatItWrote)
{
    PeerMessage message;
    message.from = memberOf("n1");
    message.updates = {memberOf("n2"), memberOf("n3")};
    message.leavingEngines = {EngineId("copy-1")};
    message.load = {{ModelId("copy")}, {{CustomerId("brand"), 12.5}}};
    message.body = SnapshotPiece{SnapshotSection::CacheView, 4, 5, {"a", std::string(1, '\0')}};
    const auto read = decode(encode(message));
    ASSERT_TRUE(read.has_value()) << read.error().reason;
    EXPECT_EQ(read->from, message.from);
    EXPECT_EQ(read->updates, message.updates);
    EXPECT_EQ(read->leavingEngines, message.leavingEngines);
    EXPECT_EQ(read->load, message.load);
    const auto &piece = std::get<SnapshotPiece>(read->body);
    EXPECT_EQ(piece.nextCursor, 5U);
    EXPECT_EQ(piece.items, (std::vector<std::string>{"a", std::string(1, '\0')}));
}

// Guards against a crash on bytes that are not a valid message, as a peer of another version or a
// port scanner sends them. A crash would end the streams of all callers.
RC_GTEST_PROP(Codec, NeverCrashesOnForeignBytes, (const std::string &bytes))
{
    const auto read = decode(bytes);
    RC_ASSERT(!read.has_value() || !read->from.node.empty());
}

RC_GTEST_PROP(Codec, NeverCrashesOnADamagedMessage, (std::size_t position, char value))
{
    PeerMessage message;
    message.from = memberOf("n1");
    message.body = PingRequest{1, {"127.0.0.1", 7001}};
    std::string bytes = encode(message);
    bytes[position % bytes.size()] = value;
    const auto read = decode(bytes);
    RC_ASSERT(!read.has_value() || !read->from.node.empty());
}

TEST(Codec, ReadsBackACacheEntry)
{
    const CacheEntry entry{EngineKey{7}, Incarnation{9}, {1, 2}, std::chrono::milliseconds(1500)};
    const auto read = decodeCacheEntry(encode(entry));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, entry);
    EXPECT_FALSE(decodeCacheEntry("\x01\x02").has_value());
}

TEST(Codec, RefusesAMessageThatIsTooLong)
{
    EXPECT_FALSE(decode(std::string(MaxMessageBytes + 1, 'x')).has_value());
}

} // namespace
} // namespace vanilladyke
