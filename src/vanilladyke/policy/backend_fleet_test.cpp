#include "vanilladyke/base/random.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"
#include "vanilladyke/policy/wait_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <queue>
#include <set>

/// Simulates the load of a whole fleet with the trackers of all its nodes, without a network:
/// engines that prefill one prompt after the other, and nodes that exchange updates at intervals.
namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId llmService("llm");
const ModelId llmModel("m");

struct Load
{
    int nodes = 72;
    int engines = 72;
    double longPerMs = 0.235;
    double shortPerMs = 0.797;
    int parts = 4000;
    int updateInterval = 640; ///< ms between two load updates of a node
    int minUpdateGap = 80;    ///< ms, minimum between two updates with placements
    int runMs = 20'000;
    int stores = 3;
    bool refuses = false; ///< requests with a long predicted wait are refused
};

struct Result
{
    double shortP99 = 0; ///< ms to the first token
    double longP99 = 0;
    double longMean = 0;
    int shed = 0;
    int sharedPrefills = 0; ///< number of complete prefills of shared parts
    int longs = 0;
    int shorts = 0;
    int refusedLongs = 0;
    int refusedShorts = 0;
    int falselyRefused = 0; ///< although the engine's backlog was below the limit
};

/// A link that carries one transfer after the other.
class TrialLink
{
public:
    explicit TrialLink(double tokensPerMs)
        : m_tokensPerMs(tokensPerMs)
    {}

    /// @return when the transfer is done
    double take(double now, double tokens)
    {
        m_until = std::max(now, m_until) + tokens / m_tokensPerMs;
        return m_until;
    }

private:
    double m_tokensPerMs;
    double m_until = 0;
};

/// One engine: it prefills prompts in order of arrival, and evicts the least recently used parts.
class TrialEngine
{
public:
    static constexpr double TokensPerMs = 112;
    static constexpr double FirstTokenMs = 31;
    static constexpr double MemoryTokens = 186'200;
    static constexpr std::size_t Slots = 16;
    static constexpr std::size_t Queue = 48;

    /// @return ms until its backlog is processed
    [[nodiscard]] double backlogMs(double now) const { return std::max(0.0, m_busyUntil - now); }

    [[nodiscard]] bool holds(int part) const
    {
        return std::any_of(m_parts.begin(), m_parts.end(),
                           [part](const auto &each) { return each.first == part; });
    }

    void cache(int part, double tokens)
    {
        std::erase_if(m_parts, [part](const auto &each) { return each.first == part; });
        m_parts.emplace_back(part, tokens);
        double all = 0;
        for (const auto &[id, size] : m_parts) {
            all += size;
        }
        while (all > MemoryTokens) {
            all -= m_parts.front().second;
            m_parts.pop_front();
        }
    }

    /// @param from arrival time of a fetched part; other prompts are prefilled meanwhile
    /// @return time of the first token
    double prefill(double now, double from, double tokens)
    {
        m_busyUntil = std::max(now, m_busyUntil) + tokens / TokensPerMs;
        return std::max(from + tokens / TokensPerMs, m_busyUntil) + FirstTokenMs;
    }

    int open = 0; ///< requests at the engine
    TrialLink link{2500};

private:
    std::deque<std::pair<int, double>> m_parts; ///< with their tokens, the most recently used last
    double m_busyUntil = 0;
};

class FleetTrial
{
public:
    FleetTrial(const Load &load, const BackendCostParameters &rates)
        : m_load(load)
        , m_random(11)
        , m_engines(static_cast<std::size_t>(load.engines))
    {
        std::vector<BackendEntry> entries;
        for (int i = 0; i < load.engines; ++i) {
            BackendEntry entry;
            entry.id = EngineId("e" + std::to_string(i));
            entry.service = llmService;
            entry.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            entry.dataCentre = DataCentreId("dc" + std::to_string(i % 3));
            entry.slots = static_cast<int>(TrialEngine::Slots);
            entry.weights[llmModel] = 1;
            entries.push_back(entry);
        }
        for (int i = 0; i < load.nodes; ++i) {
            m_nodes.emplace_back(DataCentreId("dc" + std::to_string(i % 3)), rates,
                                 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(i + 1));
            m_nodes.back().setBackends(entries);
            m_kept.emplace_back();
            std::vector<KeptStore> stores;
            stores.reserve(static_cast<std::size_t>(load.stores));
            for (int j = 0; j < load.stores; ++j) {
                stores.push_back({{"10.0.1.1", static_cast<std::uint16_t>(j)},
                                  DataCentreId("dc" + std::to_string(j))});
            }
            m_kept.back().setStores(stores);
        }
        m_updatedAt.resize(m_nodes.size());
        m_stores.resize(static_cast<std::size_t>(load.stores), TrialLink(660));
        m_inStore.resize(static_cast<std::size_t>(load.stores));
    }

    Result run()
    {
        for (int ms = 0; ms < m_load.runMs; ++ms) {
            finish(ms);
            sendUpdates(ms);
            for (int i = arrivals(m_load.longPerMs); i > 0; --i) {
                send(ms, true);
            }
            for (int i = arrivals(m_load.shortPerMs); i > 0; --i) {
                send(ms, false);
            }
        }
        m_result.shortP99 = percentile(m_shorts);
        m_result.longP99 = percentile(m_longs);
        for (const double each : m_longs) {
            m_result.longMean += each / static_cast<double>(m_longs.size());
        }
        return m_result;
    }

private:
    struct Running
    {
        double at = 0;
        std::size_t node = 0;
        std::size_t engine = 0;
        BackendChoice choice;
        bool isEnd = false; ///< otherwise the first token

        bool operator>(const Running &other) const { return at > other.at; }
    };

    static TimePoint at(double ms)
    {
        return TimePoint(std::chrono::hours(1) + milliseconds(static_cast<int>(ms)));
    }

    int arrivals(double perMs) { return std::poisson_distribution<int>(perMs)(m_random); }

    static double percentile(std::vector<double> &times)
    {
        std::sort(times.begin(), times.end());
        return times.empty() ? 0 : times[times.size() * 99 / 100];
    }

    void finish(int ms)
    {
        while (!m_running.empty() && m_running.top().at <= ms) {
            const Running now = m_running.top();
            m_running.pop();
            BackendTracker &tracker = m_nodes[now.node];
            TrialEngine &engine = m_engines[now.engine];
            if (now.isEnd) {
                --engine.open;
                tracker.ended(now.choice, true, false, at(ms));
                continue;
            }
            const int running = std::min<int>(engine.open, TrialEngine::Slots);
            tracker.reported(now.choice.backend.id, running, engine.open - running, at(ms));
            tracker.began(now.choice, at(ms));
            constexpr double StepMs = 6;
            constexpr double Tokens = 8;
            m_running.push({ms + StepMs * Tokens, now.node, now.engine, now.choice, true});
        }
    }

    void sendUpdates(int ms)
    {
        for (std::size_t from = 0; from < m_nodes.size(); ++from) {
            const bool isUrgent =
                    m_nodes[from].hasPlacements() && ms - m_updatedAt[from] >= m_load.minUpdateGap;
            if ((ms + static_cast<int>(from) * 17) % m_load.updateInterval != 0 && !isUrgent) {
                continue;
            }
            m_updatedAt[from] = ms;
            const auto updates = m_nodes[from].ownLoad(1000, at(ms));
            const auto placements = m_nodes[from].takePlacements();
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (to != from) {
                    m_nodes[to].receivedLoad(from, updates, at(ms));
                    m_nodes[to].receivedPlacements(placements, at(ms));
                    for (const PlacementUpdate &each : placements) {
                        if (each.saved != 0) {
                            m_kept[to].recordSaved(each.saved, at(ms));
                        }
                    }
                }
            }
        }
    }

    void send(int ms, bool isLong)
    {
        const std::size_t node = uniformBelow(m_random, m_nodes.size());
        const auto part = static_cast<int>(
                uniformBelow(m_random, isLong ? static_cast<std::uint64_t>(m_load.parts) : 40));
        BackendQuery query;
        query.service = llmService;
        query.model = llmModel;
        query.sharedPart = (isLong ? "l" : "s") + std::to_string(part);
        query.sharedTokens = isLong ? 13'300 : 55;
        query.ownTokens = isLong ? 3'720 : 328;
        query.memoryTokens = static_cast<std::uint64_t>(TrialEngine::MemoryTokens);
        query.kept = m_load.stores > 0 ? &m_kept[node] : nullptr;
        query.target = milliseconds(isLong ? 600 : 400);
        if (m_load.refuses) {
            query.urgency = isLong ? 4 : 1;
        }
        ++(isLong ? m_result.longs : m_result.shorts);
        constexpr int MostTries = 4;
        for (int i = 0; i < MostTries; ++i) {
            const auto choice = m_nodes[node].choose(query, at(ms));
            if (!choice) {
                return;
            }
            const auto index = static_cast<std::size_t>(choice->backend.endpoint.port - 1000);
            TrialEngine &engine = m_engines[index];
            if (m_load.refuses && isRefused(ms, query, *choice, engine, isLong)) {
                return;
            }
            if (engine.open >= static_cast<int>(TrialEngine::Slots + TrialEngine::Queue)) {
                ++m_result.shed;
                m_nodes[node].exclude(choice->backend.id, at(ms));
                query.exclude.push_back(choice->backend.id);
                continue;
            }
            m_nodes[node].sent(*choice, query, at(ms));
            begin(ms, node, index, *choice, query, part, isLong);
            return;
        }
    }

    bool isRefused(int ms, const BackendQuery &query, const BackendChoice &choice,
                   const TrialEngine &engine, bool isLong)
    {
        const WaitLimits limits{query.target, at(ms) + std::chrono::seconds(4)};
        if (!refusedUntil(limits, choice.wait, at(ms))) {
            return false;
        }
        ++(isLong ? m_result.refusedLongs : m_result.refusedShorts);
        const double most = limits.maxFraction * Millis(query.target).count();
        m_result.falselyRefused += engine.backlogMs(ms) < most ? 1 : 0;
        return true;
    }

    void begin(int ms, std::size_t node, std::size_t index, const BackendChoice &choice,
               const BackendQuery &query, int part, bool isLong)
    {
        TrialEngine &engine = m_engines[index];
        auto tokens = static_cast<double>(query.ownTokens);
        double from = ms;
        if (isLong) {
            const auto shared = static_cast<double>(query.sharedTokens);
            if (!engine.holds(part)) {
                const std::optional<double> fetched = fetch(ms, choice, part, shared);
                from = fetched.value_or(ms);
                tokens += fetched ? 0 : shared;
                m_result.sharedPrefills += fetched ? 0 : 1;
            }
            engine.cache(part, shared);
            engine.cache(--m_ownPart, tokens);
            if (choice.saveTo) {
                m_kept[node].recordSaved(
                        KeptCacheView::keyOf(cacheSalt(llmModel, 1, {}), query.sharedPart), at(ms));
                m_inStore[choice.saveTo->port].insert(part);
            }
        }
        ++engine.open;
        const double first = engine.prefill(ms, from, tokens);
        (isLong ? m_longs : m_shorts).push_back(first - ms);
        m_running.push({first, node, index, choice, false});
    }

    /// @return arrival time of the part; none if the source does not have it
    std::optional<double> fetch(double now, const BackendChoice &choice, int part, double tokens)
    {
        if (!choice.fetchFrom) {
            return std::nullopt;
        }
        const std::uint16_t port = choice.fetchFrom->port;
        if (port < m_stores.size()) {
            const bool isThere = m_inStore[port].contains(part);
            return isThere ? std::optional(m_stores[port].take(now, tokens)) : std::nullopt;
        }
        TrialEngine &source = m_engines[static_cast<std::size_t>(port - 1000)];
        return source.holds(part) ? std::optional(source.link.take(now, tokens)) : std::nullopt;
    }

    Load m_load;
    Random m_random;
    std::vector<BackendTracker> m_nodes;
    std::vector<KeptCacheView> m_kept; ///< of each node
    std::vector<int> m_updatedAt;      ///< ms, of each node
    std::vector<TrialLink> m_stores;
    std::vector<std::set<int>> m_inStore;
    int m_ownPart = 0; ///< parts that no other request shares have descending negative numbers
    std::vector<TrialEngine> m_engines;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    std::vector<double> m_shorts;
    std::vector<double> m_longs;
    Result m_result;
};

Result simulate(const Load &load)
{
    BackendCostParameters rates;
    rates.keptTokensPerMs = 660;
    rates.engineTokensPerMs = 2500;
    return FleetTrial(load, rates).run();
}

Load scaled(double factor)
{
    Load load;
    load.longPerMs *= factor;
    load.shortPerMs *= factor;
    return load;
}

// 72 nodes and 72 engines at one and a half times the usual load, with more parts than all engines
// hold. Guards against updates on long prompts that are half a second late, so that every node
// selects the engines that were idle then.
TEST(BackendFleet, PlacementUpdatesSentAtOnceKeepLongPromptsApart)
{
    const Result now = simulate(scaled(1.5));
    Load late = scaled(1.5);
    late.minUpdateGap = late.runMs;
    const Result before = simulate(late);
    RecordProperty("short_p99_ms", static_cast<int>(now.shortP99));
    RecordProperty("long_p99_ms", static_cast<int>(now.longP99));
    EXPECT_EQ(now.shed, 0);
    EXPECT_LT(now.shortP99, 230);
    EXPECT_LT(now.longP99, 450);
    EXPECT_GT(before.shortP99, 1.5 * now.shortP99);
    EXPECT_GT(before.longP99, 1.3 * now.longP99);
}

// Half of the long prompts would be fetched from the only store of the fleet, whose link carries a
// fifth of them. Guards against a queue of seconds there.
TEST(BackendFleet, ASingleStoreIsNotOverloaded)
{
    Load load = scaled(1.0);
    load.stores = 1;
    load.parts = 1023;
    const Result result = simulate(load);
    EXPECT_LT(result.longMean, 220);
    EXPECT_LT(result.longP99, 900);
}

// With a store in each of three data centres, nearly all parts that an engine evicted are fetched.
TEST(BackendFleet, AStoreInEachDataCentreSavesNearlyAllRepeatedPrefills)
{
    Load load = scaled(1.0);
    load.parts = 1023;
    const Result result = simulate(load);
    EXPECT_LT(result.sharedPrefills, 1.15 * load.parts);
    EXPECT_LT(result.longP99, 450);
}

/// 295 nodes and 128 engines. A node sends a long prompt every other second, and reports it as soon
/// as the update rate towards hundreds of receivers permits.
Load largeFleet(double factor)
{
    Load load;
    load.nodes = 295;
    load.engines = 128;
    load.longPerMs = 0.182 * factor;
    load.shortPerMs = 0.547 * factor;
    load.parts = 1734;
    load.updateInterval = 2640;
    load.minUpdateGap = 330;
    load.runMs = 6'000;
    load.stores = 6;
    load.refuses = true;
    return load;
}

// Engines are busy for a fifth of the time, and each long prompt is prefilled a tenth of a second
// after it was sent, while the next update of its node follows seconds later. Guards against
// refusing callers although every engine is idle.
TEST(BackendFleet, LoadReportedSecondsAgoRefusesNobody)
{
    const Result result = simulate(largeFleet(1));
    EXPECT_EQ(result.refusedLongs + result.refusedShorts, 0);
    EXPECT_LT(result.longP99, 450);
}

// The load is three times as high. The few engines that a node evaluates for a long prompt
// occasionally have a queue while others are idle. Guards against refusing a caller although there
// is capacity.
TEST(BackendFleet, FurtherServersAreEvaluatedBeforeARequestIsRefused)
{
    const Result result = simulate(largeFleet(3));
    EXPECT_EQ(result.falselyRefused, 0);
    EXPECT_LT(result.longP99, 600);
    EXPECT_LT(result.shortP99, 400);
}

} // namespace
} // namespace vanilladyke
