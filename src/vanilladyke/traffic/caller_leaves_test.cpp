#include "vanilladyke/traffic/exchange_fixture.hpp"

/// Callers that close their connections before they have an answer.
namespace vanilladyke {
namespace {

class CallerLeavesTest : public ExchangeTest
{
protected:
    void leave() { m_caller.reset(); }

    [[nodiscard]] int leftCallers() const
    {
        return static_cast<int>(m_state.metrics.counter("requests_total{outcome=\"caller_left\"}"));
    }
};

// A node that is behind reads a request whose caller gave up meanwhile. The close lies behind the
// request, and an idle connection to a server takes the request in the same turn.
TEST_F(CallerLeavesTest, ARequestReadAfterItsCallerHasLeftIsNotSent)
{
    auto &backend = addBackend(good);
    EXPECT_EQ(ask("1"), 200);
    connect();
    send(request("2"));
    leave();
    runUntil([this] { return leftCallers() == 1; });
    EXPECT_EQ(backend.received.size(), 1U);
    EXPECT_EQ(ask("3"), 200);
    EXPECT_EQ(backend.received.size(), 2U);
    EXPECT_EQ(backend.received[1].connection, 1); // the unused connection went back
}

} // namespace
} // namespace vanilladyke
