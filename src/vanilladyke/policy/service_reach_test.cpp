#include "vanilladyke/policy/service_reach.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId testedService("s");

EngineId server(int number)
{
    return EngineId("e" + std::to_string(number));
}

class ServiceReachTest : public ::testing::Test
{
protected:
    bool fail(int number, std::size_t known)
    {
        return m_reach.connectFailed(testedService, server(number), known, m_now);
    }
    bool accept(int number, std::size_t known)
    {
        return m_reach.connected(testedService, server(number), known, m_now);
    }
    [[nodiscard]] Reach reach() const { return m_reach.reach(testedService, m_now); }

    ServiceReach m_reach;
    TimePoint m_now{std::chrono::hours(1)};
};

// A node loses its links to all servers; each of them looks like one bad server.
TEST_F(ServiceReachTest, IsNoneOnceEnoughServersFailInARow)
{
    fail(1, 9);
    fail(2, 9);
    fail(3, 9);
    EXPECT_EQ(reach(), Reach::All);
    EXPECT_TRUE(fail(4, 9));
    EXPECT_EQ(reach(), Reach::None);
    EXPECT_EQ(m_reach.unreached(), std::vector<ServiceId>{testedService});
}

TEST_F(ServiceReachTest, IsNoneOnceAllOfASmallServiceFail)
{
    fail(1, 2);
    fail(1, 2);
    EXPECT_NE(reach(), Reach::None);
    EXPECT_TRUE(fail(2, 2));
    EXPECT_EQ(reach(), Reach::None);
}

// One server that ends must not make a node give up its way to the service.
TEST_F(ServiceReachTest, ASingleFailureOfTheOnlyServerProvesNothing)
{
    EXPECT_FALSE(fail(1, 1));
    EXPECT_EQ(reach(), Reach::All);
    fail(1, 1);
    EXPECT_EQ(reach(), Reach::None);
}

TEST_F(ServiceReachTest, ASuccessBetweenTheFailuresProvesThatTheLinksWork)
{
    fail(1, 9);
    fail(2, 9);
    fail(3, 9);
    accept(5, 9);
    fail(4, 9);
    EXPECT_NE(reach(), Reach::None);
}

TEST_F(ServiceReachTest, IsFewWhileHalfOfTheServersFail)
{
    accept(1, 8);
    for (int number = 2; number <= 4; ++number) {
        fail(number, 8);
        accept(1, 8);
    }
    EXPECT_EQ(reach(), Reach::All);
    fail(5, 8);
    EXPECT_EQ(reach(), Reach::Few);
    m_now += ServiceReach::FailureLifetime + milliseconds(1);
    EXPECT_EQ(reach(), Reach::All);
}

TEST_F(ServiceReachTest, OldFailuresDoNotAddUp)
{
    for (int number = 1; number <= 8; ++number) {
        fail(number, 9);
        m_now += milliseconds(1001);
    }
    EXPECT_NE(reach(), Reach::None);
}

// At the end of a partition single connections come about before the links are sound.
TEST_F(ServiceReachTest, IsBelievedAgainOnlyOnceSeveralServersAccept)
{
    for (int number = 1; number <= 4; ++number) {
        fail(number, 9);
    }
    EXPECT_FALSE(accept(1, 9));
    fail(1, 9);
    EXPECT_FALSE(accept(2, 9));
    EXPECT_EQ(reach(), Reach::None);
    EXPECT_TRUE(accept(3, 9));
    EXPECT_NE(reach(), Reach::None);
}

TEST_F(ServiceReachTest, AnotherServiceIsJudgedByItself)
{
    for (int number = 1; number <= 4; ++number) {
        fail(number, 4);
    }
    EXPECT_EQ(m_reach.reach(ServiceId("other"), m_now), Reach::All);
}

} // namespace
} // namespace vanilladyke
