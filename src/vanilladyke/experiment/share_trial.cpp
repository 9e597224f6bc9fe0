#include "vanilladyke/experiment/share_trial.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <queue>
#include <tuple>

namespace vanilladyke {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Patience = seconds(1); ///< from arrival until an engine has to begin
/// A node gives up a request so long before: an engine may let it wait a little.
constexpr Duration Margin = milliseconds(150);
constexpr Duration MeanWork = milliseconds(500);
constexpr Duration ReportEvery = milliseconds(100);
constexpr Duration ReportLag = milliseconds(100);

constexpr double HotPart = 0.5; ///< of all load, at the one hot node

/// One node has half of the load, the others share the rest.
double skewed(std::uint32_t node, std::uint32_t hot, std::uint32_t nodes, double total)
{
    return node == hot ? total * HotPart : total * (1 - HotPart) / (nodes - 1);
}

struct Job
{
    std::size_t node = 0;
    TimePoint arrivedAt;
    Duration work{};
};

enum class EventKind { Arrival, End, Measure, Report };

struct Event
{
    TimePoint at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Arrival;
    std::size_t index = 0; ///< node of an arrival, engine of an end
    Job job;

    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

template <typename Rule>
class Trial
{
public:
    Trial(const ShareScenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_nodes(scenario.nodes)
        , m_engines(scenario.engines)
        , m_tally(scenario.nodes)
    {
        for (Node &node : m_nodes) {
            node.under.resize(scenario.engines);
            node.rules.resize(scenario.engines);
        }
    }

    ShareResult run()
    {
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            scheduleArrival(node, m_now);
        }
        schedule(m_now, EventKind::Measure, 0, {});
        const TimePoint end = m_now + m_scenario.span;
        while (m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        return m_tally.result(m_scenario.engines * m_scenario.slots * secondsOf(m_scenario.span));
    }

private:
    struct Node
    {
        std::vector<Rule> rules;
        std::vector<std::uint32_t> under; ///< own requests at each engine
        std::deque<Job> waiting;
    };

    struct Engine
    {
        std::uint32_t running = 0;
        std::deque<Job> waiting;
    };

    struct Measured
    {
        std::vector<double> busy;
        std::uint32_t wantingNodes = 0;
    };

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            arrive(event.index);
            break;
        case EventKind::End:
            end(event.index, event.job);
            break;
        case EventKind::Measure:
            measure();
            break;
        case EventKind::Report:
            report();
            break;
        }
    }

    void arrive(std::size_t node)
    {
        scheduleArrival(node, m_now);
        if (loadOf(node) <= 0) {
            return;
        }
        const Job job{node, m_now, exponential(MeanWork)};
        m_tally.offer(node, job.work);
        m_nodes[node].waiting.push_back(job);
        dispatch(node);
    }

    void end(std::size_t engine, const Job &job)
    {
        Engine &at = m_engines[engine];
        --at.running;
        --m_nodes[job.node].under[engine];
        if (!at.waiting.empty()) {
            const Job next = at.waiting.front();
            at.waiting.pop_front();
            begin(engine, next);
        }
        dispatch(job.node);
    }

    /// Gives waiting requests to the engine where the most of the share is left.
    void dispatch(std::size_t index)
    {
        Node &node = m_nodes[index];
        while (!node.waiting.empty()) {
            if (m_now - node.waiting.front().arrivedAt > Patience - Margin) {
                node.waiting.pop_front(); // refused
                continue;
            }
            const std::optional<std::size_t> engine = roomiest(index);
            if (!engine) {
                return;
            }
            const Job job = node.waiting.front();
            node.waiting.pop_front();
            ++node.under[*engine];
            if (m_engines[*engine].running < m_scenario.slots) {
                begin(*engine, job);
            } else {
                m_engines[*engine].waiting.push_back(job);
            }
        }
    }

    std::optional<std::size_t> roomiest(std::size_t index)
    {
        const Node &node = m_nodes[index];
        std::optional<std::size_t> best;
        std::int64_t most = 0;
        const std::size_t first = uniformBelow(m_random, m_engines.size());
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const std::size_t e = (first + i) % m_engines.size();
            const double rounding = slotRounding(index, m_nodes.size(), e);
            const auto usable = static_cast<std::int64_t>(node.rules[e].usable(rounding));
            if (usable - node.under[e] > most) {
                most = usable - node.under[e];
                best = e;
            }
        }
        return best;
    }

    void begin(std::size_t engine, const Job &job)
    {
        ++m_engines[engine].running;
        const Duration wait = m_now - job.arrivedAt;
        m_tally.begin(job.node, job.work, wait, wait <= Patience);
        schedule(m_now + job.work, EventKind::End, engine, job);
    }

    void measure()
    {
        Measured measured;
        for (const Engine &engine : m_engines) {
            measured.busy.push_back(engine.running + static_cast<double>(engine.waiting.size()));
        }
        for (const Node &node : m_nodes) {
            measured.wantingNodes += node.waiting.empty() ? 0U : 1U;
        }
        m_measured.push_back(std::move(measured));
        schedule(m_now + ReportLag, EventKind::Report, 0, {});
        schedule(m_now + ReportEvery, EventKind::Measure, 0, {});
    }

    void report()
    {
        const Measured measured = std::move(m_measured.front());
        m_measured.pop_front();
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            Node &node = m_nodes[n];
            for (std::size_t e = 0; e < m_engines.size(); ++e) {
                const double own = node.under[e];
                const double busy = std::max(measured.busy[e], own);
                node.rules[e].update({static_cast<double>(m_scenario.slots), busy, own,
                                      m_scenario.nodes, measured.wantingNodes,
                                      !node.waiting.empty()});
            }
            dispatch(n);
        }
    }

    [[nodiscard]] double loadOf(std::size_t node) const
    {
        return m_scenario.load(static_cast<std::uint32_t>(node), m_now.time_since_epoch());
    }

    void scheduleArrival(std::size_t node, TimePoint from)
    {
        const double perSecond =
                loadOf(node) * m_scenario.engines * m_scenario.slots / secondsOf(MeanWork);
        const Duration gap =
                perSecond > 0 ? exponential(spanOfSeconds(1 / perSecond)) : ReportEvery;
        schedule(from + gap, EventKind::Arrival, node, {});
    }

    Duration exponential(Duration mean)
    {
        return spanOfSeconds(-std::log(1 - uniform(m_random)) * secondsOf(mean));
    }

    void schedule(TimePoint at, EventKind kind, std::size_t index, const Job &job)
    {
        m_events.push({at, m_order++, kind, index, job});
    }

    const ShareScenario &m_scenario;
    Random m_random;
    std::vector<Node> m_nodes;
    std::vector<Engine> m_engines;
    std::deque<Measured> m_measured;
    std::priority_queue<Event> m_events;
    ShareTally m_tally;
    TimePoint m_now;
    std::uint64_t m_order = 0;
};

} // namespace

std::vector<ShareScenario> shareScenarios()
{
    std::vector<ShareScenario> all;
    const auto add = [&](const std::string &name, double total, auto load) {
        ShareScenario scenario;
        scenario.name = name;
        scenario.load = [=](std::uint32_t node, Duration at) { return load(node, at, total); };
        all.push_back(scenario);
    };
    const auto even = [](std::uint32_t, Duration, double total) { return total / 8; };
    const auto skew = [](std::uint32_t node, Duration, double total) {
        return skewed(node, 0, 8, total);
    };
    const auto shifting = [](std::uint32_t node, Duration at, double total) {
        const auto hot = static_cast<std::uint32_t>(at / seconds(3)) % 8;
        return skewed(node, hot, 8, total);
    };
    const auto joining = [](std::uint32_t node, Duration at, double total) {
        return node == 7 && at < seconds(10) ? 0.0 : total / 8;
    };
    add("even 0.9", 0.9, even);
    add("even 1.5", 1.5, even);
    add("one hot node 0.9", 0.9, skew);
    add("one hot node 1.5", 1.5, skew);
    add("hot node moves 0.9", 0.9, shifting);
    add("hot node moves 1.5", 1.5, shifting);
    add("a node joins 1.5", 1.5, joining);
    ShareScenario many;
    many.name = "40 nodes, 8 slots, 1.5";
    many.nodes = 40;
    many.engines = 20;
    many.slots = 8;
    many.load = [](std::uint32_t, Duration) { return 1.5 / 40; };
    all.push_back(many);
    many.name = "40 nodes, 8 slots, hot 0.9";
    many.load = [](std::uint32_t node, Duration) { return skewed(node, 0, 40, 0.9); };
    all.push_back(many);
    return all;
}

std::vector<double> maxMinParts(const std::vector<double> &demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    std::vector<double> parts(demands.size());
    double left = capacity;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const double equal = left / static_cast<double>(order.size() - i);
        parts[order[i]] = std::min(demands[order[i]], equal);
        left -= parts[order[i]];
    }
    return parts;
}

void ShareTally::begin(std::size_t node, Duration work, Duration wait, bool inTime)
{
    m_waits.push_back(wait);
    if (inTime) {
        m_served[node] += secondsOf(work);
    } else {
        ++m_late;
    }
}

ShareResult ShareTally::result(double capacity) const
{
    ShareResult result;
    const double offered = std::accumulate(m_offered.begin(), m_offered.end(), 0.0);
    const double served = std::accumulate(m_served.begin(), m_served.end(), 0.0);
    result.goodput = served / std::min(offered, capacity);
    const std::vector<double> parts = maxMinParts(m_offered, capacity);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        result.unfairness = std::max(result.unfairness, 1 - m_served[i] / parts[i]);
    }
    if (m_waits.empty()) {
        return result;
    }
    result.late = static_cast<double>(m_late) / static_cast<double>(m_waits.size());
    std::vector<Duration> waits = m_waits;
    const auto at = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    std::nth_element(waits.begin(), at, waits.end());
    result.wait99 = *at;
    return result;
}

template <ShareRule Rule>
ShareResult runShareTrial(const ShareScenario &scenario, std::uint64_t seed)
{
    return Trial<Rule>(scenario, seed).run();
}

template ShareResult runShareTrial<UnheardPartRule>(const ShareScenario &, std::uint64_t);
template ShareResult runShareTrial<EqualSplitRule>(const ShareScenario &, std::uint64_t);
template ShareResult runShareTrial<AdditiveIncreaseRule>(const ShareScenario &, std::uint64_t);
template ShareResult runShareTrial<AggressiveIncreaseRule>(const ShareScenario &, std::uint64_t);
template ShareResult runShareTrial<WantingPartRule>(const ShareScenario &, std::uint64_t);

} // namespace vanilladyke
