#include "vanilladyke/experiment/trace.hpp"

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace vanilladyke {

namespace {

constexpr std::uint32_t BlockTokens = RunBytes / BytesPerToken;

/// Picks ranks by a Zipf law.
class Zipf
{
public:
    Zipf(std::uint32_t count, double skew)
    {
        double sum = 0;
        for (std::uint32_t rank = 0; rank < count; ++rank) {
            sum += 1.0 / std::pow(rank + 1.0, skew);
            m_cumulative.push_back(sum);
        }
    }

    [[nodiscard]] std::uint32_t pick(Random &random) const
    {
        const double mark = uniform(random) * m_cumulative.back();
        const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), mark);
        return static_cast<std::uint32_t>(found - m_cumulative.begin());
    }

private:
    std::vector<double> m_cumulative;
};

/// Builds chains without any text: a cut's hash follows from the names of the levels before it.
class ChainWriter
{
public:
    explicit ChainWriter(std::uint64_t name)
        : m_name(mixBits(name))
    {}

    void message(std::uint64_t name, std::uint32_t tokens)
    {
        m_name = mixBits(m_name ^ mixBits(name + 1));
        for (std::uint32_t done = 0; done < tokens;) {
            const std::uint32_t run = std::min(BlockTokens, tokens - done);
            done += run;
            m_tokens += run;
            const std::uint64_t low = mixBits(m_name + done);
            m_chain.push_back({{mixBits(low ^ m_name), low}, m_tokens, done == tokens});
        }
    }

    [[nodiscard]] std::uint64_t name() const { return m_name; }
    [[nodiscard]] PrefixChain take() { return std::move(m_chain); }

private:
    std::uint64_t m_name;
    std::uint32_t m_tokens = 0;
    PrefixChain m_chain;
};

class TraceWriter
{
public:
    TraceWriter(const Deployment &deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
    {
        for (const LevelSpec &level : deployment.levels) {
            m_picks.emplace_back(level.perParent, level.skew);
        }
    }

    SimRequest next(TimePoint at)
    {
        SimRequest request;
        request.arrivesAt = at;
        request.node = uniformBelow(m_random, m_deployment.nodes);
        request.customer = pickCustomer();
        request.customerId = CustomerId("customer-" + std::to_string(request.customer));
        const bool brief = uniform(m_random) < m_deployment.shortFraction;
        const double spread = 0.5 + uniform(m_random);
        const auto &spec = m_deployment;
        request.answerTokens = static_cast<std::uint32_t>(
                spread * (brief ? spec.shortAnswerTokens : spec.answerTokens));
        request.answerTokens = std::max<std::uint32_t>(request.answerTokens, 1);
        writeChain(request, brief);
        request.firstTokenDeadline = at + spec.firstTokenDeadline;
        return request;
    }

private:
    std::size_t pickCustomer()
    {
        double mark = uniform(m_random);
        for (std::size_t i = 0; i + 1 < m_deployment.customerWeights.size(); ++i) {
            mark -= m_deployment.customerWeights[i];
            if (mark < 0) {
                return i;
            }
        }
        return m_deployment.customerWeights.size() - 1;
    }

    void writeChain(SimRequest &request, bool brief)
    {
        ChainWriter writer(request.customer);
        const auto epoch = static_cast<std::uint64_t>(request.arrivesAt.time_since_epoch()
                                                      / m_deployment.shiftEvery);
        for (std::size_t i = 0; i < m_deployment.levels.size(); ++i) {
            const LevelSpec &level = m_deployment.levels[i];
            // Ranks move on by one step of a shuffle each epoch, so that other prefixes get hot.
            const std::uint64_t shift = mixBits(epoch + (i << 32U) + request.customer);
            const std::uint64_t name = (m_picks[i].pick(m_random) + shift) % level.perParent;
            const std::uint64_t size = mixBits(writer.name() ^ mixBits(name));
            const std::uint32_t range = level.mostTokens - level.leastTokens + 1;
            writer.message(name, level.leastTokens + static_cast<std::uint32_t>(size % range));
        }
        const std::uint32_t question =
                brief ? m_deployment.shortQuestionTokens : m_deployment.questionTokens;
        writer.message(m_random(), question);
        request.chain = writer.take();
        request.promptTokens = request.chain.back().tokens;
        request.novelTokens = countNovel(request.chain);
    }

    std::uint32_t countNovel(const PrefixChain &chain)
    {
        std::uint32_t seen = 0;
        for (const PrefixCut &cut : chain) {
            if (m_seen.insert(cut.hash).second) {
                continue;
            }
            seen = cut.tokens;
        }
        return chain.back().tokens - seen;
    }

    const Deployment &m_deployment;
    Random m_random;
    std::vector<Zipf> m_picks;
    std::unordered_set<ChainHash> m_seen;
};

} // namespace

Deployment shadeline()
{
    Deployment deployment;
    deployment.name = "shadeline";
    deployment.engines = 18;
    deployment.objective = {4.0, 1.0};
    deployment.customerWeights = {0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02};
    deployment.levels = {{1, 400, 900, 0}, {12, 4000, 9000, 1.0}, {8, 400, 1500, 1.0}};
    deployment.shiftEvery = std::chrono::seconds(60);
    deployment.questionTokens = 250;
    deployment.answerTokens = 220;
    deployment.firstTokenDeadline = std::chrono::seconds(3);
    return deployment;
}

Deployment ashline()
{
    Deployment deployment;
    deployment.name = "ashline";
    deployment.engines = 9;
    deployment.objective = {1.0, 1.0};
    deployment.customerWeights = {0.35, 0.20, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02};
    deployment.levels = {{4, 5000, 9000, 1.2}, {6, 600, 1500, 0.8}, {10, 150, 400, 0.8}};
    deployment.shiftEvery = std::chrono::seconds(45);
    deployment.shortFraction = 0.7;
    deployment.answerTokens = 300;
    deployment.firstTokenDeadline = std::chrono::milliseconds(1500);
    return deployment;
}

std::vector<SimRequest> makeTrace(const Deployment &deployment, double requestsPerSecond,
                                  Duration length, std::uint64_t seed)
{
    TraceWriter writer(deployment, seed);
    Random random(mixBits(seed));
    std::vector<SimRequest> trace;
    double at = 0;
    const double end = std::chrono::duration<double>(length).count();
    while (true) {
        at += -std::log(1.0 - uniform(random)) / requestsPerSecond;
        if (at >= end) {
            return trace;
        }
        trace.push_back(writer.next(TimePoint(
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)))));
    }
}

} // namespace vanilladyke
