#include "vanilladyke/policy/weights_announcements.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

constexpr Duration Allowed = milliseconds(15000);

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

WeightsAnnouncement announcement(std::uint64_t version, int announcedAfter, int firstReceivedAt)
{
    return {version, at(announcedAfter), at(firstReceivedAt)};
}

TEST(WeightsAnnouncements, DeadlineOfOlderWeightsUsesTheLowerBound)
{
    WeightsAnnouncements announcements;
    EXPECT_FALSE(announcements.deadlineOf(1, Allowed));
    EXPECT_TRUE(announcements.add(announcement(2, 1000, 2700), AnnouncementSource::Read, at(2700),
                                  Allowed));
    EXPECT_EQ(announcements.deadlineOf(1, Allowed), at(1000) + Allowed);
    EXPECT_FALSE(announcements.deadlineOf(2, Allowed));
    EXPECT_TRUE(announcements.isSuperseded(1, at(2701)));
    EXPECT_FALSE(announcements.isSuperseded(1, at(2700)));
    EXPECT_EQ(announcements.newest(), 2U);
}

// Guards against requests that start on old weights after the deadline because the store omitted
// the record from an answer, which made the lower bound too late.
TEST(WeightsAnnouncements, EarlierReceiptByAnotherNodeCorrectsAWrongLowerBound)
{
    WeightsAnnouncements announcements;
    EXPECT_TRUE(announcements.add(announcement(2, 4500, 6200), AnnouncementSource::Read, at(6200),
                                  Allowed));
    EXPECT_TRUE(announcements.add(announcement(2, 2700, 2850), AnnouncementSource::Reported,
                                  at(6300), Allowed));
    EXPECT_EQ(announcements.deadlineOf(1, Allowed), at(2850) + Allowed);
    EXPECT_FALSE(announcements.add(announcement(2, 2700, 2850), AnnouncementSource::Reported,
                                   at(6400), Allowed));
}

// Guards against requests that start on old weights after the deadline on a node that restarted
// during a rollout and only estimates when the weights were announced.
TEST(WeightsAnnouncements, ARestartedNodeTakesTheBoundsOfOthers)
{
    WeightsAnnouncements announcements;
    EXPECT_TRUE(announcements.add(announcement(3, 4500, 4500), AnnouncementSource::Estimated,
                                  at(12000), Allowed));
    EXPECT_TRUE(announcements.reportable().empty()) << "estimates are not sent";
    EXPECT_TRUE(announcements.add(announcement(3, 1000, 1100), AnnouncementSource::Reported,
                                  at(12100), Allowed));
    EXPECT_EQ(announcements.deadlineOf(2, Allowed), at(1000) + Allowed);
    EXPECT_EQ(announcements.reportable(), std::vector{announcement(3, 1000, 1100)});
    EXPECT_FALSE(announcements.add(announcement(3, 4600, 4600), AnnouncementSource::Estimated,
                                   at(12200), Allowed));
}

// Guards against an estimate that is too early: a restarted node would exclude all engines with
// older weights, although they may serve for several seconds more.
TEST(WeightsAnnouncements, AnEstimateIsReplacedByALaterBound)
{
    WeightsAnnouncements announcements;
    EXPECT_TRUE(announcements.add(announcement(3, 4500, 4500), AnnouncementSource::Estimated,
                                  at(12000), Allowed));
    EXPECT_TRUE(announcements.add(announcement(3, 11000, 11100), AnnouncementSource::Reported,
                                  at(12100), Allowed));
    EXPECT_EQ(announcements.deadlineOf(2, Allowed), at(11000) + Allowed);
}

// A node that was down or disconnected when version 2 was announced reads only version 3. Guards
// against engines with version 1 that stay available until the deadline of version 3.
TEST(WeightsAnnouncements, AMissedVersionStillLimitsOlderOnes)
{
    WeightsAnnouncements announcements;
    EXPECT_TRUE(announcements.add(announcement(3, 9000, 9100), AnnouncementSource::Read, at(9100),
                                  Allowed));
    EXPECT_TRUE(announcements.add(announcement(2, 1000, 1100), AnnouncementSource::Reported,
                                  at(9200), Allowed));
    EXPECT_EQ(announcements.deadlineOf(1, Allowed), at(1000) + Allowed);
    EXPECT_EQ(announcements.deadlineOf(2, Allowed), at(9000) + Allowed);
    EXPECT_EQ(announcements.newest(), 3U);
}

TEST(WeightsAnnouncements, ObsoleteVersionsAreRemoved)
{
    WeightsAnnouncements announcements;
    EXPECT_TRUE(announcements.add(announcement(2, 0, 0), AnnouncementSource::Read, at(0), Allowed));
    EXPECT_TRUE(announcements.add(announcement(3, 5000, 5000), AnnouncementSource::Read, at(5000),
                                  Allowed));
    EXPECT_TRUE(announcements.add(announcement(4, 21000, 21000), AnnouncementSource::Read,
                                  at(21000), Allowed));
    EXPECT_EQ(announcements.reportable().size(), 2U);
    EXPECT_FALSE(announcements.add(announcement(2, 0, 0), AnnouncementSource::Reported, at(21100),
                                   Allowed));
    EXPECT_EQ(announcements.deadlineOf(1, Allowed), at(5000) + Allowed);
}

/// Six nodes that follow the records by long polling and exchange their bounds. The store misses
/// waiting calls and omits records; datagrams are lost and delayed; nodes are killed and restarted.
class SimulatedFleet
{
public:
    static constexpr Duration PollWait = milliseconds(1700);
    static constexpr Duration SendInterval = milliseconds(400);
    static constexpr Duration Step = milliseconds(20);
    static constexpr Duration RestartDelay = milliseconds(900);
    /// A restarted node is checked only after it has had time to receive the bounds of others.
    static constexpr Duration SettleTime = milliseconds(2000);
    static constexpr std::size_t Nodes = 6;

    explicit SimulatedFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < Nodes; ++i) {
            start(i);
        }
    }

    void announce()
    {
        ++m_newest;
        m_announcedAt[m_newest] = m_now;
        const std::size_t missedNode = m_random() % (2 * Nodes);
        if (missedNode < Nodes) {
            // Delayed by one wait, or by two of which the first is answered without the record.
            m_nodes[missedNode].missedWaits = 1 + static_cast<int>(m_random() % 2);
        }
    }

    void kill(std::size_t i)
    {
        m_nodes[i] = Node();
        m_nodes[i].startsAt = m_now + RestartDelay;
    }

    void step()
    {
        m_now += Step;
        for (std::size_t i = 0; i < Nodes; ++i) {
            Node &node = m_nodes[i];
            if (node.startsAt && m_now >= *node.startsAt) {
                start(i);
            }
            if (!node.startsAt) {
                follow(&node);
                send(i);
            }
        }
        for (auto each = m_sent.begin(); each != m_sent.end() && each->first <= m_now;) {
            const Datagram &datagram = each->second;
            if (!m_nodes[datagram.to].startsAt) {
                receive(datagram);
            }
            each = m_sent.erase(each);
        }
    }

    /// The largest delay past the deadline by which a settled node lets requests start on older
    /// weights.
    [[nodiscard]] Duration maxDelay() const
    {
        Duration latest = Duration::min();
        for (const auto &[version, namedAt] : m_announcedAt) {
            for (const Node &node : m_nodes) {
                const bool decides = m_now < namedAt + Allowed && m_now > namedAt + 2 * PollWait;
                if (!decides || node.startsAt || m_now - node.startedAt < SettleTime) {
                    continue;
                }
                const auto end = node.announcements.deadlineOf(version - 1, Allowed);
                latest = std::max(latest, end ? *end - namedAt - Allowed : Allowed);
            }
        }
        return latest;
    }

    /// The largest lead before the deadline by which a node excludes engines with the previous
    /// weights.
    [[nodiscard]] Duration maxLead() const
    {
        Duration soonest = Duration::zero();
        for (const Node &node : m_nodes) {
            const auto end = node.announcements.deadlineOf(m_newest - 1, Allowed);
            const bool isEstimate = node.startsAt || m_now - node.startedAt < SettleTime;
            if (end && !isEstimate) {
                soonest = std::max(soonest, m_announcedAt.at(m_newest) + Allowed - *end);
            }
        }
        return soonest;
    }

    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] Random &random() { return m_random; }

private:
    struct Node
    {
        WeightsAnnouncements announcements;
        std::optional<TimePoint> startsAt; ///< the node is down until then; none while it runs
        TimePoint startedAt;
        std::uint64_t known = 1;
        TimePoint lastReadAt;
        TimePoint waitEnds;
        int missedWaits = 0; ///< answers that arrive only at the end of the wait
        TimePoint sendsAt;
    };
    struct Datagram
    {
        std::size_t to = 0;
        WeightsAnnouncement announcement; ///< sent as ages relative to sentAt
        TimePoint sentAt;
    };

    Duration upTo(Duration span) { return spanOfSeconds(secondsOf(span) * uniform(m_random)); }

    void start(std::size_t i)
    {
        Node node;
        node.startedAt = m_now;
        node.lastReadAt = m_now;
        node.known = m_newest;
        node.waitEnds = m_now + PollWait;
        node.sendsAt = m_now + upTo(SendInterval);
        if (m_newest > 1) {
            const TimePoint estimate = m_now - Allowed / 2;
            node.announcements.add({m_newest, estimate, estimate}, AnnouncementSource::Estimated,
                                   m_now, Allowed);
        }
        m_nodes[i] = std::move(node);
    }

    void follow(Node *node)
    {
        const bool isOver = m_now >= node->waitEnds;
        if (!isOver && (node->known == m_newest || node->missedWaits > 0)) {
            return;
        }
        const bool isOmitted = node->missedWaits > 1;
        if (!isOmitted) {
            for (std::uint64_t version = node->known + 1; version <= m_newest; ++version) {
                node->announcements.add({version, node->lastReadAt, m_now},
                                        AnnouncementSource::Read, m_now, Allowed);
            }
            node->known = m_newest;
        }
        node->missedWaits = isOver ? std::max(0, node->missedWaits - 1) : node->missedWaits;
        node->lastReadAt = m_now;
        node->waitEnds = m_now + PollWait;
    }

    void send(std::size_t from)
    {
        constexpr double LossRate = 0.2;
        constexpr Duration MaxTransferTime = milliseconds(60);
        Node &node = m_nodes[from];
        if (m_now < node.sendsAt) {
            return;
        }
        node.sendsAt = m_now + SendInterval;
        for (std::size_t to = 0; to < Nodes; ++to) {
            for (const WeightsAnnouncement &each : node.announcements.reportable()) {
                if (to != from && uniform(m_random) >= LossRate) {
                    m_sent.emplace(m_now + upTo(MaxTransferTime), Datagram{to, each, m_now});
                }
            }
        }
    }

    void receive(const Datagram &datagram)
    {
        const Duration transferTime = m_now - datagram.sentAt;
        WeightsAnnouncement received = datagram.announcement;
        received.announcedAfter += transferTime;
        received.firstReceivedAt += transferTime;
        m_nodes[datagram.to].announcements.add(received, AnnouncementSource::Reported, m_now,
                                               Allowed);
    }

    Random m_random;
    TimePoint m_now = at(0);
    std::uint64_t m_newest = 1;
    std::map<std::uint64_t, TimePoint> m_announcedAt;
    std::array<Node, Nodes> m_nodes;
    std::multimap<TimePoint, Datagram> m_sent;
};

// Weights are announced repeatedly while calls are delayed and nodes are killed. Guards against a
// node that lets requests start on older weights after the deadline by more than 800 ms, the margin
// by which requests queued at an engine are withdrawn before the deadline that the node computed.
TEST(WeightsAnnouncements, NoNodeExceedsTheDeadlineByMoreThanTheMargin)
{
    constexpr Duration Margin = milliseconds(800);
    constexpr Duration SimulatedTime = std::chrono::seconds(90);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SimulatedFleet fleet(seed);
        const TimePoint end = fleet.now() + SimulatedTime;
        TimePoint announceAt = fleet.now();
        while (fleet.now() < end) {
            if (fleet.now() >= announceAt) {
                fleet.announce();
                announceAt += milliseconds(500 + static_cast<int>(fleet.random()() % 8000));
            }
            if (fleet.random()() % 100 == 0) {
                fleet.kill(fleet.random()() % SimulatedFleet::Nodes);
            }
            fleet.step();
            ASSERT_LE(fleet.maxDelay(), Margin) << "seed " << seed;
            ASSERT_LE(fleet.maxLead(), 2 * SimulatedFleet::PollWait) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace vanilladyke
