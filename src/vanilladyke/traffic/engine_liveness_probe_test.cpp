#include "vanilladyke/traffic/engine_liveness_probe.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {

namespace {

class EngineLivenessProbeTest : public ::testing::Test
{
protected:
    /// Starts @p times checks concurrently. @return how many reported that the engine has ended
    int ask(const Endpoint &endpoint, int times)
    {
        int ended = 0;
        int answered = 0;
        for (int i = 0; i < times; ++i) {
            asio::co_spawn(
                    context,
                    [&]() -> asio::awaitable<void> {
                        const bool hasEnded =
                                co_await livenessProbe.hasEnded(EngineId("e"), endpoint);
                        ended += hasEnded ? 1 : 0;
                        ++answered;
                    },
                    asio::detached);
        }
        while (answered < times) {
            context.run_one(); // run() would not return: the pooled connection keeps a pending wait
        }
        return ended;
    }

    asio::io_context context;
    Ticker ticker{context};
    BackendPool pool{context, ticker};
    EngineLivenessProbe livenessProbe{context, pool};
};

// Guards against blaming a request that lost its connection for ending an engine that still runs.
TEST_F(EngineLivenessProbeTest, AnEngineThatListensHasNotEnded)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    EXPECT_EQ(ask({"127.0.0.1", acceptor.local_endpoint().port()}, 3), 0);
    EXPECT_EQ(pool.connectionsOpened(), 1U);
    EXPECT_FALSE(livenessProbe.hadEndedBefore(EngineId("e"), MonotonicClock::now()));
}

TEST_F(EngineLivenessProbeTest, AnEngineThatRefusesConnectionsHasEnded)
{
    std::uint16_t port = 0;
    {
        Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        port = acceptor.local_endpoint().port();
    }
    EXPECT_EQ(ask({"127.0.0.1", port}, 3), 3);
    EXPECT_EQ(pool.connectionsOpened(), 1U);
    EXPECT_TRUE(livenessProbe.hadEndedBefore(EngineId("e"), MonotonicClock::now()));
}

} // namespace

} // namespace vanilladyke
