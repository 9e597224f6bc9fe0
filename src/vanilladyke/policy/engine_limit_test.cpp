#include "vanilladyke/policy/engine_limit.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace vanilladyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

/// The requirement: the number of requests in any Window, from Contact after the limit was set.
constexpr Duration Window = seconds(4);
constexpr Duration Contact = seconds(3);
constexpr double Allowed = 1.5;
constexpr double AllowedExtra = 5;

void sendUpdate(const EngineLimit &from, std::uint64_t node, EngineLimit &to, TimePoint now)
{
    if (const auto update = from.pendingUpdate(now)) {
        static_cast<void>(to.received(node, *update, now));
    }
}

struct Load
{
    std::size_t nodes = 9;
    double limit = 5;
    double demand = 15; ///< requests a second for the engine, over all nodes
    Duration updateInterval = milliseconds(80);
    double lost = 0.03;       ///< fraction of the datagrams
    double hotFraction = 0.2; ///< fraction of the demand at the first node
};

/// Nodes with requests for one engine that send each other updates every `updateInterval`, with
/// random offsets.
class Replay
{
public:
    Replay(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_nodes(load.nodes)
    {
        for (std::size_t i = 0; i < load.nodes; ++i) {
            m_updateAt.push_back(Start + load.updateInterval * uniformBelow(m_random, 1000) / 1000);
        }
    }

    std::vector<TimePoint> run(Duration span)
    {
        for (TimePoint now = Start; now < Start + span; now += Step) {
            if (uniform(m_random) < m_load.demand * secondsOf(Step)) {
                const bool isHot = uniform(m_random) < m_load.hotFraction;
                request(isHot ? 0 : uniformBelow(m_random, m_nodes.size()), now);
            }
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_updateAt[i] <= now) {
                    m_updateAt[i] = now + m_load.updateInterval;
                    sendUpdates(i, now);
                }
            }
            answer(now);
        }
        return m_sent;
    }

private:
    static constexpr Duration Step = milliseconds(5);
    static constexpr Duration AnswerTime = milliseconds(100);

    void request(std::size_t node, TimePoint now)
    {
        if (m_nodes[node].allows(uniform(m_random), now)) {
            m_nodes[node].sent(now);
            m_sent.push_back(now);
            m_open.push_back({node, now + AnswerTime});
        }
    }

    void sendUpdates(std::size_t from, TimePoint now)
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from && uniform(m_random) >= m_load.lost) {
                sendUpdate(m_nodes[from], from, m_nodes[to], now);
            }
        }
    }

    void answer(TimePoint now)
    {
        std::erase_if(m_open, [&](const auto &open) {
            const bool isOver = open.second <= now;
            if (isOver) {
                static_cast<void>(m_nodes[open.first].observed(m_load.limit, now));
            }
            return isOver;
        });
    }

    Load m_load;
    Random m_random;
    std::vector<EngineLimit> m_nodes;
    std::vector<TimePoint> m_updateAt;
    std::vector<TimePoint> m_sent;
    std::vector<std::pair<std::size_t, TimePoint>> m_open;
};

std::size_t mostInWindow(const std::vector<TimePoint> &sent, TimePoint from)
{
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto last = std::upper_bound(first, sent.end(), *first + Window);
        if (*first >= from) {
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
    }
    return most;
}

void checkLoad(const Load &load, std::uint64_t seeds)
{
    constexpr Duration Span = seconds(40);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<TimePoint> sent = Replay(load, seed).run(Span);
        const double allowed = Allowed * secondsOf(Window) * load.limit + AllowedExtra;
        EXPECT_LE(static_cast<double>(mostInWindow(sent, Start + Contact)), allowed)
                << load.nodes << " nodes, limit " << load.limit << ", wanted " << load.demand
                << ", seed " << seed;
        const double used = static_cast<double>(sent.size()) / secondsOf(Span);
        EXPECT_GE(used, 0.6 * std::min(load.limit, load.demand))
                << load.nodes << " nodes, limit " << load.limit << ", wanted " << load.demand;
    }
}

// Guards against each node using the limit as its own or ignoring it: the sum would be several
// times the limit.
TEST(EngineLimit, SimulationOfNineNodesKeepsTheLimit)
{
    for (const double limit : {0.5, 1.0, 2.5, 5.0, 20.0}) {
        for (const double demand : {4.0, 15.0, 60.0}) {
            checkLoad({9, limit, demand, milliseconds(100)}, 5);
        }
    }
}

// Updates of hundreds of nodes are half a second old. Guards against each node taking the same
// token.
TEST(EngineLimit, SimulationOfHundredsOfNodesKeepsTheLimit)
{
    for (const double limit : {1.0, 5.0}) {
        for (const double demand : {15.0, 60.0}) {
            checkLoad({410, limit, demand, milliseconds(460)}, 1);
        }
    }
}

// Guards against nodes that received no answer of the engine themselves sending without a limit.
TEST(EngineLimit, AppliesAtNodesThatOnlyReceiveTheUpdate)
{
    EngineLimit first;
    EngineLimit second;
    EXPECT_TRUE(first.observed(5, Start));
    sendUpdate(first, 1, second, Start + milliseconds(50));
    EXPECT_EQ(second.perSecond(), 5);
    EXPECT_FALSE(second.allows(0, Start + milliseconds(60)));
    EXPECT_TRUE(second.allows(0, Start + milliseconds(400)));
    EXPECT_FALSE(second.pendingUpdate(Start + milliseconds(400)));
}

// Guards against a lifted limit that remains at nodes without requests there, or that an outdated
// update restores.
TEST(EngineLimit, TheNewestAnswerOfAnyNodeDecides)
{
    EngineLimit first;
    EngineLimit second;
    static_cast<void>(first.observed(5, Start));
    sendUpdate(first, 1, second, Start);
    EXPECT_FALSE(first.observed(
            std::nullopt, Start + milliseconds(100))); // may have been written before the limit
    EXPECT_EQ(first.perSecond(), 5);
    EXPECT_TRUE(second.observed(8, Start + seconds(1)));
    sendUpdate(second, 2, first, Start + seconds(1));
    EXPECT_EQ(first.perSecond(), 8);
    EXPECT_TRUE(first.observed(std::nullopt, Start + seconds(2)));
    sendUpdate(second, 2, first, Start + seconds(2)); // an answer from a second ago
    EXPECT_FALSE(first.perSecond());
    sendUpdate(first, 1, second, Start + seconds(2));
    EXPECT_FALSE(second.perSecond());
    EXPECT_TRUE(second.allows(0.99, Start + seconds(2)));
    EngineLimit third;
    sendUpdate(second, 2, third, Start + seconds(3));
    sendUpdate(first, 1, third, Start + seconds(3));
    EXPECT_FALSE(third.perSecond());
    EXPECT_FALSE(first.pendingUpdate(Start + seconds(8)));
}

// Guards against never sending to an engine with a limit of zero, which would hide the end of the
// limit.
TEST(EngineLimit, AnEngineWithALimitOfZeroIsProbed)
{
    EngineLimit limit;
    static_cast<void>(limit.observed(0, Start));
    EXPECT_FALSE(limit.allows(0, Start + seconds(3)));
    EXPECT_LE(limit.nextAllowedAt(Start), Start + seconds(5));
    EXPECT_TRUE(limit.allows(0, Start + seconds(5)));
}

// Guards against a lost datagram or a restarted node letting through requests that others have
// already sent.
TEST(EngineLimit, CountsOfOthersMakeUpForLostDatagrams)
{
    EngineLimit first;
    EngineLimit second;
    static_cast<void>(first.observed(2, Start));
    static_cast<void>(second.observed(2, Start));
    const TimePoint now = Start + seconds(1);
    first.sent(now);
    first.sent(now); // the update is lost
    first.sent(now);
    sendUpdate(first, 1, second, now);
    EXPECT_FALSE(second.allows(0, now + milliseconds(900)));
    sendUpdate(first, 1, second, now + milliseconds(900)); // the same count as before
    EXPECT_TRUE(second.allows(0, now + milliseconds(1100)));
    EngineLimit anew; // a restarted node counts from zero
    static_cast<void>(anew.observed(2, now));
    anew.sent(now + seconds(1));
    sendUpdate(anew, 1, second, now + seconds(1));
    EXPECT_FALSE(second.allows(0, now + seconds(1)));
}

} // namespace

} // namespace vanilladyke
