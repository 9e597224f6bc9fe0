#pragma once

#include "vanilladyke/experiment/node_policy.hpp"
#include "vanilladyke/experiment/timeline.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

/// Runs a trace through nodes and engine models in virtual time.
namespace vanilladyke {

/// @brief What became of one request.
struct RequestResult
{
    std::optional<TimePoint> firstTokenAt; ///< none if it was refused
    std::uint32_t cachedTokens = 0;
};

/// @brief One run: nodes of one way, engines, and the network's lags between them.
template <NodePolicy Node>
class Simulation
{
public:
    Simulation(const Deployment &deployment, const std::vector<SimRequest> &trace,
               std::vector<EngineModel> &engines, std::vector<Node> &nodes, std::uint64_t seed)
        : m_deployment(deployment)
        , m_trace(trace)
        , m_engines(engines)
        , m_nodes(nodes)
        , m_random(seed)
        , m_results(trace.size())
        , m_lost(engines.size(), false)
        , m_undecided(trace.size())
    {}

    [[nodiscard]] std::vector<RequestResult> run()
    {
        for (std::size_t i = 0; i < m_trace.size(); ++i) {
            m_timeline.at(m_trace[i].arrivesAt, [this, i] { arrive(i); });
        }
        m_timeline.at(TimePoint(), [this] { report(); });
        m_timeline.at(TimePoint(), [this] { tick(); });
        m_timeline.run();
        return std::move(m_results);
    }

private:
    static constexpr Duration TickEvery = std::chrono::milliseconds(5);

    void arrive(std::size_t index)
    {
        Node &node = m_nodes[m_trace[index].node];
        node.offer(index, m_trace[index], m_timeline.now());
        decide(node);
    }

    void decide(Node &node)
    {
        std::vector<NodeDecision> decisions;
        node.decide(m_timeline.now(), decisions);
        for (const NodeDecision &decision : decisions) {
            --m_undecided;
            if (decision.engine) {
                submit(decision.request, *decision.engine);
            }
        }
    }

    void submit(std::size_t index, std::size_t engine)
    {
        ++m_running;
        std::vector<EngineStep> steps;
        m_engines[engine].submit(index, m_trace[index], m_timeline.now(), steps);
        schedule(engine, steps);
    }

    void schedule(std::size_t engine, const std::vector<EngineStep> &steps)
    {
        for (const EngineStep &step : steps) {
            m_timeline.at(step.at, [this, engine, step] { happen(engine, step); });
        }
    }

    void happen(std::size_t engine, const EngineStep &step)
    {
        const TimePoint now = m_timeline.now();
        std::vector<EngineStep> steps;
        m_engines[engine].happened(step, now, steps);
        schedule(engine, steps);
        const SimRequest &request = m_trace[step.request];
        Node &node = m_nodes[request.node];
        if (step.kind == EngineStep::Kind::FirstToken) {
            m_results[step.request] = {now, step.cachedTokens};
            node.firstToken(step.request, request, step.cachedTokens, now);
        } else {
            --m_running;
            node.finished(step.request, now);
        }
    }

    /// Measures every engine now and hands the report to all nodes after the lag.
    void report()
    {
        const TimePoint now = m_timeline.now();
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            const LoadReport load = m_engines[engine].load(now);
            m_timeline.at(now + m_deployment.reportLag, [this, engine, load] {
                for (Node &node : m_nodes) {
                    node.reported(engine, load);
                }
            });
            reportCache(engine);
        }
        if (active()) {
            m_timeline.at(now + m_deployment.reportEvery, [this] { report(); });
        }
    }

    void reportCache(std::size_t engine)
    {
        std::vector<CacheChange> changes = m_engines[engine].takeChanges();
        if (changes.empty()) {
            return;
        }
        if (uniform(m_random) < m_deployment.cacheEventLoss) {
            m_lost[engine] = true;
            return;
        }
        const bool gap = m_lost[engine];
        m_lost[engine] = false;
        m_timeline.at(m_timeline.now() + m_deployment.cacheEventLag,
                      [this, engine, gap, changes = std::move(changes)] {
                          for (Node &node : m_nodes) {
                              node.cacheChanged(engine, changes, gap, m_timeline.now());
                          }
                      });
    }

    void tick()
    {
        for (Node &node : m_nodes) {
            decide(node);
        }
        if (active()) {
            m_timeline.at(m_timeline.now() + TickEvery, [this] { tick(); });
        }
    }

    [[nodiscard]] bool active() const { return m_undecided > 0 || m_running > 0; }

    const Deployment &m_deployment;
    const std::vector<SimRequest> &m_trace;
    std::vector<EngineModel> &m_engines;
    std::vector<Node> &m_nodes;
    Random m_random;
    Timeline m_timeline;
    std::vector<RequestResult> m_results;
    std::vector<bool> m_lost; ///< by engine: cache events were lost since the last that came
    std::size_t m_undecided;
    std::size_t m_running = 0;
};

} // namespace vanilladyke
