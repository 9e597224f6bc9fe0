#include "vanilladyke/node/control_plane.hpp"

#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/traffic/scripted_backend.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

/// Answers nothing.
class SilentLeaseLog : public LeaseLog
{
public:
    void append(const LeaseAppend & /*append*/,
                std::function<void(const LeaseAppendAnswer &)> /*done*/) override
    {}
    void read(std::optional<std::uint64_t> /*known*/,
              std::function<void(std::optional<LeaseLogState>)> /*done*/) override
    {}
};

class SilentEngines : public EngineOrders
{
public:
    void report(const BackendEntry & /*engine*/,
                std::function<void(std::optional<EngineReport>)> /*done*/) override
    {}
    void order(const BackendEntry & /*engine*/, const WeightsOrder & /*order*/,
               std::function<void(OrderResult)> /*done*/) override
    {}
};

class NoKeptCache : public KeptCacheFollower
{
public:
    void follow(const std::vector<Endpoint> & /*stores*/, StateListener & /*listener*/) override {}
};

// Guards against accepting a key that was taken away: the traffic thread, behind with its work, saw
// the proof of a configuration that it had not put in force.
TEST(ControlPlane, AProofIsSeenOnlyWithTheConfigurationThatItProves)
{
    asio::io_context control;
    asio::io_context trafficContext;
    TrafficState traffic(trafficContext, testDialect(), TrafficSettings(), 1);
    SilentLeaseLog log;
    SilentEngines engines;
    NoKeptCache keptCache;
    ControlPlane plane(control, traffic, ControlSettings(), log, engines, keptCache, 1);
    RoutingConfig config;
    config.version = 2;
    plane.configurationRead(config);
    plane.configurationProved(BootClock::now());
    EXPECT_EQ(traffic.table, nullptr);
    EXPECT_EQ(plane.proof().age(), Duration::max());
    trafficContext.poll();
    EXPECT_NE(traffic.table, nullptr);
    EXPECT_LT(plane.proof().age(), std::chrono::hours(1));
}

} // namespace
} // namespace vanilladyke
