#include "vanilladyke/policy/weights_dates.hpp"

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

WeightsDate date(std::uint64_t version, int namedAfter, int knownAt)
{
    return {version, at(namedAfter), at(knownAt)};
}

TEST(WeightsDates, OlderWeightsEndByTheLowerBound)
{
    WeightsDates dates;
    EXPECT_FALSE(dates.endOf(1, Allowed));
    EXPECT_TRUE(dates.add(date(2, 1000, 2700), DateGrounds::Read, at(2700), Allowed));
    EXPECT_EQ(dates.endOf(1, Allowed), at(1000) + Allowed);
    EXPECT_FALSE(dates.endOf(2, Allowed));
    EXPECT_TRUE(dates.isReplaced(1, at(2701)));
    EXPECT_FALSE(dates.isReplaced(1, at(2700)));
    EXPECT_EQ(dates.newest(), 2U);
}

// The store left a record out of an answer, and this node took that for a proof that it was not
// there. Requests would begin on old weights after their time is over.
TEST(WeightsDates, WhatAnotherNodeKnewBeforeBoundsAWrongProof)
{
    WeightsDates dates;
    EXPECT_TRUE(dates.add(date(2, 4500, 6200), DateGrounds::Read, at(6200), Allowed));
    EXPECT_TRUE(dates.add(date(2, 2700, 2850), DateGrounds::Told, at(6300), Allowed));
    EXPECT_EQ(dates.endOf(1, Allowed), at(2850) + Allowed);
    EXPECT_FALSE(dates.add(date(2, 2700, 2850), DateGrounds::Told, at(6400), Allowed));
}

// A node was killed and started again in the middle of a rollout, and finds weights of an unknown
// age. Its guess may let requests begin on old weights seconds after their time is over.
TEST(WeightsDates, ANodeThatHasJustStartedTakesWhatOthersTell)
{
    WeightsDates dates;
    EXPECT_TRUE(dates.add(date(3, 4500, 4500), DateGrounds::Guess, at(12000), Allowed));
    EXPECT_TRUE(dates.toTell().empty()) << "a guess is no news";
    EXPECT_TRUE(dates.add(date(3, 1000, 1100), DateGrounds::Told, at(12100), Allowed));
    EXPECT_EQ(dates.endOf(2, Allowed), at(1000) + Allowed);
    EXPECT_EQ(dates.toTell(), std::vector{date(3, 1000, 1100)});
    EXPECT_FALSE(dates.add(date(3, 4600, 4600), DateGrounds::Guess, at(12200), Allowed));
}

// The guess is too early: every engine on older weights would be closed to a node that just began,
// though they may serve for seconds more.
TEST(WeightsDates, AGuessGivesWayToALaterDate)
{
    WeightsDates dates;
    EXPECT_TRUE(dates.add(date(3, 4500, 4500), DateGrounds::Guess, at(12000), Allowed));
    EXPECT_TRUE(dates.add(date(3, 11000, 11100), DateGrounds::Told, at(12100), Allowed));
    EXPECT_EQ(dates.endOf(2, Allowed), at(11000) + Allowed);
}

// A node that was killed or cut off while version 2 was named finds only version 3. Engines on
// version 1 would stay open until the time of version 3 is over.
TEST(WeightsDates, AVersionThatANodeMissedStillClosesWhatIsOlder)
{
    WeightsDates dates;
    EXPECT_TRUE(dates.add(date(3, 9000, 9100), DateGrounds::Read, at(9100), Allowed));
    EXPECT_TRUE(dates.add(date(2, 1000, 1100), DateGrounds::Told, at(9200), Allowed));
    EXPECT_EQ(dates.endOf(1, Allowed), at(1000) + Allowed);
    EXPECT_EQ(dates.endOf(2, Allowed), at(9000) + Allowed);
    EXPECT_EQ(dates.newest(), 3U);
}

TEST(WeightsDates, WhatDecidesNothingAnyMoreIsForgotten)
{
    WeightsDates dates;
    EXPECT_TRUE(dates.add(date(2, 0, 0), DateGrounds::Read, at(0), Allowed));
    EXPECT_TRUE(dates.add(date(3, 5000, 5000), DateGrounds::Read, at(5000), Allowed));
    EXPECT_TRUE(dates.add(date(4, 21000, 21000), DateGrounds::Read, at(21000), Allowed));
    EXPECT_EQ(dates.toTell().size(), 2U);
    EXPECT_FALSE(dates.add(date(2, 0, 0), DateGrounds::Told, at(21100), Allowed));
    EXPECT_EQ(dates.endOf(1, Allowed), at(5000) + Allowed);
}

/// Six nodes that follow the records by calls that wait, and tell each other. The store passes
/// calls over and leaves records out; datagrams are lost and late; nodes are killed and start anew.
class DatingFleet
{
public:
    static constexpr Duration Wait = milliseconds(1700);
    static constexpr Duration TellEvery = milliseconds(400);
    static constexpr Duration Step = milliseconds(20);
    static constexpr Duration Away = milliseconds(900);
    /// A node that was just started has to hear of dates first.
    static constexpr Duration Settled = milliseconds(2000);
    static constexpr std::size_t Nodes = 6;

    explicit DatingFleet(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < Nodes; ++i) {
            start(i);
        }
    }

    void name()
    {
        ++m_newest;
        m_namedAt[m_newest] = m_now;
        const std::size_t passedOver = m_random() % (2 * Nodes);
        if (passedOver < Nodes) {
            // By one wait, or by two of which the first is answered without the record.
            m_nodes[passedOver].blindWaits = 1 + static_cast<int>(m_random() % 2);
        }
    }

    void kill(std::size_t i)
    {
        m_nodes[i] = Node();
        m_nodes[i].startsAt = m_now + Away;
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
                tell(i);
            }
        }
        for (auto each = m_sent.begin(); each != m_sent.end() && each->first <= m_now;) {
            const Datagram &datagram = each->second;
            if (!m_nodes[datagram.to].startsAt) {
                take(datagram);
            }
            each = m_sent.erase(each);
        }
    }

    /// How much later than allowed some settled node lets requests begin on older weights.
    [[nodiscard]] Duration latestBeyond() const
    {
        Duration latest = Duration::min();
        for (const auto &[version, namedAt] : m_namedAt) {
            for (const Node &node : m_nodes) {
                const bool decides = m_now < namedAt + Allowed && m_now > namedAt + 2 * Wait;
                if (!decides || node.startsAt || m_now - node.startedAt < Settled) {
                    continue;
                }
                const auto end = node.dates.endOf(version - 1, Allowed);
                latest = std::max(latest, end ? *end - namedAt - Allowed : Allowed);
            }
        }
        return latest;
    }

    /// How much sooner than allowed some node closes engines on the weights before the newest.
    [[nodiscard]] Duration soonestBefore() const
    {
        Duration soonest = Duration::zero();
        for (const Node &node : m_nodes) {
            const auto end = node.dates.endOf(m_newest - 1, Allowed);
            const bool isGuess = node.startsAt || m_now - node.startedAt < Settled;
            if (end && !isGuess) {
                soonest = std::max(soonest, m_namedAt.at(m_newest) + Allowed - *end);
            }
        }
        return soonest;
    }

    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] Random &random() { return m_random; }

private:
    struct Node
    {
        WeightsDates dates;
        std::optional<TimePoint> startsAt; ///< it is down until then
        TimePoint startedAt;
        std::uint64_t known = 1;
        TimePoint provedAt;
        TimePoint waitEnds;
        int blindWaits = 0; ///< answers that don't come before the end of the wait
        TimePoint tellsAt;
    };
    struct Datagram
    {
        std::size_t to = 0;
        WeightsDate date; ///< as ages, counted from when it was sent
        TimePoint sentAt;
    };

    Duration upTo(Duration span) { return spanOfSeconds(secondsOf(span) * uniform(m_random)); }

    void start(std::size_t i)
    {
        Node node;
        node.startedAt = m_now;
        node.provedAt = m_now;
        node.known = m_newest;
        node.waitEnds = m_now + Wait;
        node.tellsAt = m_now + upTo(TellEvery);
        if (m_newest > 1) {
            const TimePoint guess = m_now - Allowed / 2;
            node.dates.add({m_newest, guess, guess}, DateGrounds::Guess, m_now, Allowed);
        }
        m_nodes[i] = std::move(node);
    }

    void follow(Node *node)
    {
        const bool isOver = m_now >= node->waitEnds;
        if (!isOver && (node->known == m_newest || node->blindWaits > 0)) {
            return;
        }
        const bool isLeftOut = node->blindWaits > 1;
        if (!isLeftOut) {
            for (std::uint64_t version = node->known + 1; version <= m_newest; ++version) {
                node->dates.add({version, node->provedAt, m_now}, DateGrounds::Read, m_now,
                                Allowed);
            }
            node->known = m_newest;
        }
        node->blindWaits = isOver ? std::max(0, node->blindWaits - 1) : node->blindWaits;
        node->provedAt = m_now;
        node->waitEnds = m_now + Wait;
    }

    void tell(std::size_t from)
    {
        constexpr double LostPart = 0.2;
        constexpr Duration LongestWay = milliseconds(60);
        Node &node = m_nodes[from];
        if (m_now < node.tellsAt) {
            return;
        }
        node.tellsAt = m_now + TellEvery;
        for (std::size_t to = 0; to < Nodes; ++to) {
            for (const WeightsDate &each : node.dates.toTell()) {
                if (to != from && uniform(m_random) >= LostPart) {
                    m_sent.emplace(m_now + upTo(LongestWay), Datagram{to, each, m_now});
                }
            }
        }
    }

    void take(const Datagram &datagram)
    {
        const Duration way = m_now - datagram.sentAt;
        WeightsDate told = datagram.date;
        told.namedAfter += way;
        told.knownAt += way;
        m_nodes[datagram.to].dates.add(told, DateGrounds::Told, m_now, Allowed);
    }

    Random m_random;
    TimePoint m_now = at(0);
    std::uint64_t m_newest = 1;
    std::map<std::uint64_t, TimePoint> m_namedAt;
    std::array<Node, Nodes> m_nodes;
    std::multimap<TimePoint, Datagram> m_sent;
};

// Weights are named again and again, and no node may let requests begin on older ones when their
// time is over, whichever call was late and whoever was killed: what waits at an engine is
// withdrawn 800 ms before the time that a node believes in.
TEST(WeightsDates, NoNodeOfAFleetIsLateByMoreThanTheMarginBears)
{
    constexpr Duration Borne = milliseconds(800);
    constexpr Duration Played = std::chrono::seconds(90);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        DatingFleet fleet(seed);
        const TimePoint end = fleet.now() + Played;
        TimePoint namesAt = fleet.now();
        while (fleet.now() < end) {
            if (fleet.now() >= namesAt) {
                fleet.name();
                namesAt += milliseconds(500 + static_cast<int>(fleet.random()() % 8000));
            }
            if (fleet.random()() % 100 == 0) {
                fleet.kill(fleet.random()() % DatingFleet::Nodes);
            }
            fleet.step();
            ASSERT_LE(fleet.latestBeyond(), Borne) << "seed " << seed;
            ASSERT_LE(fleet.soonestBefore(), 2 * DatingFleet::Wait) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace vanilladyke
