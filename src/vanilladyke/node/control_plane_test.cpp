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

/// A control plane whose traffic side is never asked.
class ControlPlaneTest : public ::testing::Test
{
protected:
    asio::io_context m_control;
    asio::io_context m_trafficContext;
    TrafficState m_traffic{m_trafficContext, testDialect(), TrafficSettings(), 1};
    SilentLeaseLog m_log;
    SilentEngines m_engines;
    NoKeptCache m_keptCache;
    ControlPlane m_plane{m_control, m_traffic, ControlSettings(), m_log, m_engines, m_keptCache, 1};
};

// A node reads the list of servers for others and tells them of changes only. Guards against others
// that never see the second entry of a start, with which it counts, or take two entries of a start
// for two in a row though the server wrote between them.
TEST_F(ControlPlaneTest, AllEntriesThatDecideBetweenTwoStartsAreToldToOtherNodes)
{
    std::uint64_t offset = 0;
    const auto isTold = [&](std::uint64_t start, std::uint64_t heartbeat) {
        BackendEntry entry;
        entry.id = EngineId("a");
        entry.position.offset = ++offset;
        entry.start = start;
        entry.heartbeat = heartbeat;
        return m_plane.backendRead(entry);
    };
    EXPECT_TRUE(isTold(5, 10));
    EXPECT_FALSE(isTold(5, 11));
    EXPECT_TRUE(isTold(3, 1));
    EXPECT_TRUE(isTold(5, 12)) << "the one before was late";
    EXPECT_FALSE(isTold(5, 13));
    EXPECT_TRUE(isTold(3, 2));
    EXPECT_TRUE(isTold(3, 3)) << "it counts now";
    EXPECT_FALSE(isTold(3, 4));
}

// Guards against accepting a key that was taken away: the traffic thread, behind with its work, saw
// the proof of a configuration that it had not put in force.
TEST_F(ControlPlaneTest, AProofIsSeenOnlyWithTheConfigurationThatItProves)
{
    RoutingConfig config;
    config.version = 2;
    m_plane.configurationRead(config);
    m_plane.configurationProved(BootClock::now());
    EXPECT_EQ(m_traffic.table, nullptr);
    EXPECT_EQ(m_plane.proof().age(), Duration::max());
    m_trafficContext.poll();
    EXPECT_NE(m_traffic.table, nullptr);
    EXPECT_LT(m_plane.proof().age(), std::chrono::hours(1));
}

} // namespace
} // namespace vanilladyke
