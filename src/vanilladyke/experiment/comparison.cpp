#include "vanilladyke/experiment/comparison.hpp"

#include "vanilladyke/experiment/admitting_node.hpp"
#include "vanilladyke/experiment/simulation.hpp"
#include "vanilladyke/experiment/ways.hpp"

#include <algorithm>
#include <stdexcept>

namespace vanilladyke {

namespace {

constexpr double WarmUpPart = 0.2;
/// Capacity is the rate up to which the oracle is late with no more than this part.
constexpr double MostLatePart = 0.01;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

template <typename Node, typename... Extra>
std::vector<RequestResult>
runNodes(const Deployment &deployment, const std::vector<SimRequest> &trace,
         std::vector<EngineModel> &engines, std::uint64_t seed, const Extra &...extra)
{
    std::vector<Node> nodes;
    nodes.reserve(deployment.nodes);
    for (std::size_t i = 0; i < deployment.nodes; ++i) {
        nodes.emplace_back(deployment, seed * 1000 + i, extra...);
    }
    return Simulation<Node>(deployment, trace, engines, nodes, seed).run();
}

std::vector<RequestResult> runWay(std::string_view way, const Deployment &deployment,
                                  const std::vector<SimRequest> &trace, std::uint64_t seed)
{
    std::vector<EngineModel> engines(deployment.engines, EngineModel(deployment.engine));
    if (way == "vanilladyke") {
        return runNodes<AdmittingNode>(deployment, trace, engines, seed);
    }
    if (way == "placement-only") {
        return runNodes<VanilladykeNode>(deployment, trace, engines, seed);
    }
    if (way == "round-robin") {
        return runNodes<RoundRobinNode>(deployment, trace, engines, seed);
    }
    if (way == "least-loaded") {
        return runNodes<LeastLoadedNode>(deployment, trace, engines, seed);
    }
    if (way == "prefix-hash") {
        return runNodes<PrefixHashNode>(deployment, trace, engines, seed);
    }
    if (way == "oracle") {
        return runNodes<OracleNode>(deployment, trace, engines, seed,
                                    std::span<const EngineModel>(engines));
    }
    throw std::invalid_argument("unknown way " + std::string(way));
}

double percentile(std::vector<double> &sorted, double part)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(part * last)];
}

double jainIndex(const std::vector<double> &parts)
{
    double sum = 0;
    double squares = 0;
    for (const double part : parts) {
        sum += part;
        squares += part * part;
    }
    return squares == 0 ? 0 : sum * sum / (static_cast<double>(parts.size()) * squares);
}

/// Adds up what became of the counted requests.
class Tally
{
public:
    explicit Tally(std::size_t customers)
        : m_offered(customers)
        , m_inTime(customers)
    {}

    void add(const SimRequest &request, const RequestResult &result)
    {
        ++m_result.requests;
        ++m_offered[request.customer];
        if (!result.firstTokenAt) {
            ++m_result.refused;
            return;
        }
        m_ttft.push_back(1e3 * seconds(*result.firstTokenAt - request.arrivesAt));
        m_prompt += request.promptTokens;
        m_cached += result.cachedTokens;
        const double computed = request.promptTokens - result.cachedTokens;
        m_result.recomputedTokens += std::max(0.0, computed - request.novelTokens);
        if (*result.firstTokenAt > request.firstTokenDeadline) {
            ++m_result.late;
        } else {
            ++m_inTime[request.customer];
        }
    }

    [[nodiscard]] WayResult finish(double countedSeconds, double capacity)
    {
        std::sort(m_ttft.begin(), m_ttft.end());
        m_result.hitRate = m_prompt == 0 ? 0 : m_cached / m_prompt;
        m_result.ttftMedianMs = percentile(m_ttft, 0.5);
        m_result.ttftP99Ms = percentile(m_ttft, 0.99);
        const double inTime =
                static_cast<double>(m_result.requests - m_result.refused - m_result.late);
        m_result.goodput = inTime / countedSeconds / capacity;
        std::vector<double> parts;
        for (std::size_t i = 0; i < m_offered.size(); ++i) {
            parts.push_back(m_offered[i] == 0 ? 1 : m_inTime[i] / m_offered[i]);
        }
        m_result.fairness = jainIndex(parts);
        return m_result;
    }

private:
    WayResult m_result;
    std::vector<double> m_offered;
    std::vector<double> m_inTime;
    std::vector<double> m_ttft;
    double m_prompt = 0;
    double m_cached = 0;
};

/// Requests a second that all slots could decode if prefill took no time.
double slotBound(const Deployment &deployment)
{
    const double brief = deployment.shortFraction;
    const double answer =
            brief * deployment.shortAnswerTokens + (1 - brief) * deployment.answerTokens;
    const EngineSpec &spec = deployment.engine;
    return static_cast<double>(deployment.engines) * spec.slots * spec.decodeTokensPerSecond
           / answer;
}

} // namespace

const std::vector<std::string> &wayNames()
{
    static const std::vector<std::string> names{"vanilladyke",  "placement-only", "round-robin",
                                                "least-loaded", "prefix-hash",    "oracle"};
    return names;
}

double measureCapacity(const Deployment &deployment)
{
    constexpr Duration Length = std::chrono::seconds(60);
    constexpr std::uint64_t Seed = 1;
    constexpr int Halvings = 7;
    double least = 0;
    double most = slotBound(deployment);
    for (int i = 0; i < Halvings; ++i) {
        const double rate = (least + most) / 2;
        const WayResult result = measureWay("oracle", deployment, 1, rate, Length, Seed);
        const auto late = static_cast<double>(result.late);
        const bool inTime = late <= MostLatePart * static_cast<double>(result.requests);
        (inTime ? least : most) = rate;
    }
    return least;
}

WayResult measureWay(std::string_view way, const Deployment &deployment, double load,
                     double capacity, Duration length, std::uint64_t seed)
{
    const std::vector<SimRequest> trace = makeTrace(deployment, load * capacity, length, seed);
    const std::vector<RequestResult> results = runWay(way, deployment, trace, seed);
    const double counted = seconds(length) * (1 - WarmUpPart);
    const TimePoint from(std::chrono::duration_cast<Duration>(length * WarmUpPart));
    Tally tally(deployment.customerWeights.size());
    for (std::size_t i = 0; i < trace.size(); ++i) {
        if (trace[i].arrivesAt >= from) {
            tally.add(trace[i], results[i]);
        }
    }
    WayResult result = tally.finish(counted, capacity);
    result.way = way;
    return result;
}

} // namespace vanilladyke
