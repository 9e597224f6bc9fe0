#include "vanilladyke/gateway/event_id.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

StreamPosition somePosition()
{
    return {EngineId("copy.1"), Incarnation{17}, StreamId("5f0c-1"), 3, 41};
}

RequestContext someRequest(const std::string &customer)
{
    RequestContext context;
    context.customer = CustomerId(customer);
    context.chain = {{{1, 2}, 10}};
    return context;
}

TEST(EventId, IsReadBackByEveryNodeWithTheKey)
{
    const EventKey key = randomEventKey();
    const std::string id = EventSigner(key).sign(somePosition(), someRequest("brand"));
    EXPECT_EQ(EventSigner(key).verify(id, someRequest("brand")), somePosition());
    EXPECT_FALSE(EventSigner(randomEventKey()).verify(id, someRequest("brand")).has_value());
}

// A caller uses the event id of another customer's stream, or resumes with another prompt. If
// accepted, it would read an answer that is not its own.
TEST(EventId, RejectsAnotherCustomerOrPrompt)
{
    const EventSigner signer(randomEventKey());
    const std::string id = signer.sign(somePosition(), someRequest("brand"));
    EXPECT_FALSE(signer.verify(id, someRequest("trader")).has_value());
    RequestContext other = someRequest("brand");
    other.chain.back().hash.low = 3;
    EXPECT_FALSE(signer.verify(id, other).has_value());
}

// A caller alters one character of an id to resume at another offset or stream.
RC_GTEST_PROP(EventId, RefusesAnyAlteredText, (std::uint8_t place, char put))
{
    const EventSigner signer(EventKey{});
    std::string id = signer.sign(somePosition(), someRequest("brand"));
    char &character = id[place % id.size()];
    RC_PRE(character != put);
    character = put;
    RC_ASSERT(!signer.verify(id, someRequest("brand")).has_value());
}

RC_GTEST_PROP(EventId, RefusesRandomText, (const std::string &text))
{
    RC_ASSERT(!EventSigner(EventKey{}).verify(text, someRequest("brand")).has_value());
    RC_ASSERT(!parseEventKey(text).has_value());
}

} // namespace
} // namespace vanilladyke
