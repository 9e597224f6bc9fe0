#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/policy/fleet_retry_budget.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

/// Replay for tests: nodes that retry as often as their budgets allow, while they start again and
/// callers move between them.
namespace vanilladyke {

/// @brief What a replay varies.
struct RetryReplayTerms
{
    FleetRetryLimits limits;
    std::size_t nodes = 9;
    double requestsPerSecond = 180;
    std::chrono::seconds length{60};
    std::uint64_t seed = 7;
};

/// @brief Nodes of one fleet, and when callers asked and requests were retried, in milliseconds.
class RetryReplay
{
public:
    explicit RetryReplay(const RetryReplayTerms &terms)
        : m_terms(terms)
        , m_random(terms.seed)
        , m_nodes(terms.nodes, FleetRetryBudget(TimePoint()))
    {
        // Nodes have run for a while when the first callers come.
        restartAll(-static_cast<int>(millisOf(terms.limits.window)));
    }

    /// @brief The process of a node ends, and one that knows nothing takes its place.
    void restart(std::size_t node, int ms)
    {
        m_nodes[node] = FleetRetryBudget(at(ms));
        m_nodes[node].setLimits(m_terms.limits);
        m_nodes[node].setNodes(m_nodes.size(), at(ms));
    }
    void restartAll(int ms)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            restart(i, ms);
        }
    }
    FleetRetryBudget &node(std::size_t index) { return m_nodes[index]; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

    /// @param pickNode the node that a caller asks at this time
    /// @param step called at each millisecond, before requests
    void run(const std::function<std::size_t(int ms, Random &random)> &pickNode,
             const std::function<void(int ms)> &step, const std::function<bool(int ms)> &isFaulty)
    {
        const auto end = static_cast<int>(millisOf(m_terms.length));
        double due = 0;
        for (int ms = 0; ms < end; ++ms) {
            step(ms);
            for (due += m_terms.requestsPerSecond / 1000; due >= 1; due -= 1) {
                ask(m_nodes[pickNode(ms, m_random)], ms, isFaulty(ms));
            }
            if (isFaulty(ms)) {
                retry(m_nodes[uniformBelow(m_random, m_nodes.size())], ms);
            }
        }
    }

    /// @brief The retries of the worst window, minus those that are allowed there: the ratio of the
    /// requests in it, in the window before it or half a window before it, and the extra.
    [[nodiscard]] double worstExcess() const
    {
        const auto window = static_cast<int>(millisOf(m_terms.limits.window));
        double worst = -m_terms.limits.extra;
        for (const int from : m_retries) {
            const int requests = std::max({count(m_requests, from, window),
                                           count(m_requests, from - window / 2, window),
                                           count(m_requests, from - window, window)});
            const double allowed = m_terms.limits.ratio * requests + m_terms.limits.extra;
            worst = std::max(worst, count(m_retries, from, window) - allowed);
        }
        return worst;
    }
    [[nodiscard]] std::size_t retries() const { return m_retries.size(); }

    static TimePoint at(int ms)
    {
        return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(ms));
    }
    static const ServiceId &service()
    {
        static const ServiceId id("s");
        return id;
    }

private:
    static std::int64_t millisOf(Duration span)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    }
    void ask(FleetRetryBudget &node, int ms, bool isFaulty)
    {
        node.countRequest(service(), at(ms));
        m_requests.push_back(ms);
        if (isFaulty) {
            retry(node, ms);
        }
    }
    void retry(FleetRetryBudget &node, int ms)
    {
        while (node.spend(service(), at(ms))) {
            m_retries.push_back(ms);
        }
    }
    static int count(const std::vector<int> &times, int from, int window)
    {
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        const auto last = std::lower_bound(times.begin(), times.end(), from + window);
        return static_cast<int>(last - first);
    }

    RetryReplayTerms m_terms;
    Random m_random;
    std::vector<FleetRetryBudget> m_nodes;
    std::vector<int> m_requests;
    std::vector<int> m_retries;
};

} // namespace vanilladyke
