#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/policy/customer_share.hpp"
#include "vanilladyke/policy/fleet_quota.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Replay for tests and trials: one customer asks at all nodes of a fleet, below its quota or many
/// times above it, while nodes end, start again, lose each other and freeze.
namespace vanilladyke {

inline TimePoint replayTime(int ms)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(ms));
}

/// @brief What a replay varies.
struct QuotaReplayTerms
{
    std::size_t nodes = 73;
    CustomerQuota quota{QuotaUnit::Tokens, 1'000'000, 1'000'000, 200};
    QuotaTolerance tolerance{std::chrono::seconds(8), 0.1, 190'000};
    int length = 40'000;    ///< in milliseconds
    double demand = 0.9;    ///< in quotas
    double lossPart = 0.01; ///< of the messages between nodes
    std::uint64_t seed = 1;
};

/// @brief What happens to nodes, and to the links between them.
struct ReplayFleet
{
    std::vector<bool> runs;
    std::vector<bool> isFrozen;
    std::vector<int> side; ///< nodes of different sides don't reach each other

    [[nodiscard]] bool isUp(std::size_t node) const { return runs[node] && !isFrozen[node]; }
    [[nodiscard]] bool isLinked(std::size_t a, std::size_t b) const { return side[a] == side[b]; }
};

/// @brief Way of keeping quotas: each node takes a part of the quota by its part of the demand.
class SharesByDemand
{
public:
    static constexpr const char *Name = "shares by demand";

    SharesByDemand(const QuotaReplayTerms &terms, const ReplayFleet &fleet)
        : m_fleet(fleet)
        , m_nodes(terms.nodes)
    {
        m_customer.id = CustomerId("c");
        m_customer.tokensPerSecond = terms.quota.perSecond;
        m_customer.burstTokens = terms.quota.burst;
    }
    void start(std::size_t node, int /*ms*/) { m_nodes[node] = CustomerLimiter(); }
    void step(int ms, Random & /*random*/)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_fleet.isUp(i)
                && ms % Interval == static_cast<int>(i * Interval / m_nodes.size())) {
                tell(i, ms);
            }
        }
    }
    bool admit(std::size_t node, double tokens, int ms, Random & /*random*/)
    {
        const auto nodes = static_cast<std::uint32_t>(m_nodes.size());
        return m_nodes[node].take(m_customer, tokens, nodes, replayTime(ms)).has_value();
    }
    [[nodiscard]] double bytes() const { return m_bytes; }

private:
    static constexpr int Interval = 640;
    static constexpr double EntryBytes = 16;

    void tell(std::size_t from, int ms)
    {
        const auto demand = m_nodes[from].ownDemand(replayTime(ms));
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i != from && m_fleet.isUp(i) && m_fleet.isLinked(i, from)) {
                m_nodes[i].recordPeerDemand(NodeId(std::to_string(from)), demand, replayTime(ms));
                m_bytes += EntryBytes * static_cast<double>(demand.size());
            }
        }
    }

    const ReplayFleet &m_fleet;
    Customer m_customer;
    std::vector<CustomerLimiter> m_nodes;
    double m_bytes = 0;
};

/// @brief Way of keeping quotas: one node keeps the account and is asked before each request. It is
/// the first one that runs on each side of a broken link; one that comes new has an empty account.
class OneAccountAsked
{
public:
    static constexpr const char *Name = "one account, asked";

    OneAccountAsked(const QuotaReplayTerms &terms, const ReplayFleet &fleet)
        : m_terms(terms)
        , m_fleet(fleet)
    {}
    void start(std::size_t node, int /*ms*/) { m_accounts.erase(node); }
    void step(int /*ms*/, Random & /*random*/) {}
    bool admit(std::size_t node, double tokens, int ms, Random &random)
    {
        m_bytes += 2 * MessageBytes;
        const std::size_t keeper = keeperOf(node, ms);
        const bool isLost = uniform(random) < m_terms.lossPart * m_terms.lossPart;
        if (!m_fleet.isUp(keeper) || !m_fleet.isLinked(keeper, node) || isLost) {
            return false;
        }
        const auto [found, isNew] = m_accounts.try_emplace(keeper);
        if (isNew) {
            found->second =
                    TokenBucket(m_terms.quota.perSecond, m_terms.quota.burst, replayTime(ms));
            static_cast<void>(found->second.take(m_terms.quota.burst, replayTime(ms)));
        }
        return found->second.take(tokens, replayTime(ms));
    }
    [[nodiscard]] double bytes() const { return m_bytes; }

private:
    static constexpr double MessageBytes = 90;
    static constexpr int SilentFor =
            2000; ///< after which the next node takes over, in milliseconds

    /// The first node that this one has heard of lately.
    std::size_t keeperOf(std::size_t node, int ms)
    {
        for (std::size_t i = 0; i < m_fleet.runs.size(); ++i) {
            int &heardAt = m_heardAt.try_emplace({node, i}, ms).first->second;
            if (m_fleet.isUp(i) && m_fleet.isLinked(i, node)) {
                heardAt = ms;
            }
            if (ms - heardAt <= SilentFor) {
                return i;
            }
        }
        return node;
    }

    QuotaReplayTerms m_terms;
    const ReplayFleet &m_fleet;
    std::map<std::size_t, TokenBucket> m_accounts;
    std::map<std::pair<std::size_t, std::size_t>, int> m_heardAt;
    double m_bytes = 0;
};

/// @brief Way of keeping quotas: each node tells all others what it admits; see fleet_quota.hpp.
class ToldByAll
{
public:
    static constexpr const char *Name = "told by all";

    ToldByAll(const QuotaReplayTerms &terms, const ReplayFleet &fleet)
        : m_terms(terms)
        , m_fleet(fleet)
        , m_interval(80 * std::max<int>(1, static_cast<int>(terms.nodes / 9)))
        , m_nodes(terms.nodes)
    {}
    void start(std::size_t node, int ms)
    {
        Node next;
        next.quota = FleetQuota(replayTime(ms));
        next.quota.setTolerance(m_terms.tolerance);
        next.quota.setNodes(m_terms.nodes);
        next.quota.setInterval(std::chrono::milliseconds(m_interval));
        next.updateAt = ms + FirstUpdate;
        next.isFirst = true;
        setQuota(next, m_quota.value_or(m_terms.quota), ms);
        m_nodes[node] = std::move(next);
    }
    /// @brief Changes the quota at one node, as a new configuration does.
    void setQuota(std::size_t node, const CustomerQuota &quota, int ms)
    {
        m_quota = quota;
        setQuota(m_nodes[node], quota, ms);
    }
    void step(int ms, Random &random)
    {
        if (ms % StepMs == 0) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_fleet.isUp(i)) {
                    m_nodes[i].quota.step(replayTime(ms));
                    send(i, ms, random);
                }
            }
        }
        while (!m_messages.empty() && m_messages.front().at <= ms) {
            deliver(m_messages.front(), ms, random);
            m_messages.pop_front();
        }
    }
    bool admit(std::size_t node, double tokens, int ms, Random &random)
    {
        const TimePoint now = replayTime(ms);
        last = m_nodes[node].quota.admit(hashOfName("c"), tokens, now + std::chrono::seconds(2),
                                         random, now);
        return last.isAdmitted;
    }
    [[nodiscard]] double bytes() const { return m_bytes; }

    QuotaDecision last;

private:
    static constexpr int StepMs = 20;
    static constexpr int FirstUpdate = 60; ///< until a process has read the list of nodes
    static constexpr int TransitMs = 5;
    static constexpr double EntryBytes = 20;
    static constexpr double MessageBytes = 90;

    struct Node
    {
        FleetQuota quota{replayTime(0)};
        int updateAt = 0;
        bool isFirst = true; ///< no update was sent yet
    };
    struct Message
    {
        int at = 0;
        std::size_t from = 0;
        bool isUpdate = false;
        std::vector<SpendUpdate> spends;
    };

    static void setQuota(Node &node, const CustomerQuota &quota, int ms)
    {
        RoutedCustomer customer;
        customer.id = CustomerId("c");
        customer.quota = quota;
        node.quota.setCustomers({customer}, replayTime(ms));
    }
    /// What LoadSharing does: the first interval is drawn from a whole one.
    int nextInterval(bool isFirst, Random &random) const
    {
        const double factor = isFirst ? uniform(random) : 0.8 + 0.4 * uniform(random);
        return static_cast<int>(m_interval * factor);
    }
    /// One of the nodes that have run for long answers.
    void askLevels(std::size_t node, int ms, Random &random)
    {
        const std::size_t other = uniformBelow(random, m_nodes.size());
        if (other == node || !m_fleet.isUp(other) || !m_fleet.isLinked(node, other)) {
            return;
        }
        if (const auto levels = m_nodes[other].quota.levels(replayTime(ms))) {
            m_nodes[node].quota.applyLevels(*levels, replayTime(ms));
        }
    }
    void send(std::size_t from, int ms, Random &random)
    {
        Node &node = m_nodes[from];
        const bool isUpdate = ms >= node.updateAt;
        const auto tellBy = node.quota.tellBy();
        const bool isDue = tellBy && replayTime(ms) >= *tellBy;
        if (!isUpdate && !isDue) {
            return;
        }
        if (isUpdate) {
            node.updateAt = ms + nextInterval(node.isFirst, random);
            node.isFirst = false;
        }
        if (isUpdate && node.quota.needsLevels(replayTime(ms))) {
            askLevels(from, ms, random);
        }
        m_messages.push_back({ms + TransitMs, from, isUpdate, node.quota.takeUpdates()});
    }
    void deliver(const Message &message, int ms, Random &random)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i == message.from || !m_fleet.runs[i] || !m_fleet.isLinked(i, message.from)
                || uniform(random) < m_terms.lossPart) {
                continue;
            }
            m_bytes += EntryBytes * 2 * static_cast<double>(message.spends.size())
                       + (message.isUpdate ? 0 : MessageBytes);
            if (m_fleet.isFrozen[i]) {
                continue; // a few would be left in the socket's buffer
            }
            if (message.isUpdate) {
                m_nodes[i].quota.nodeHeard(message.from, false, replayTime(ms));
            }
            m_nodes[i].quota.applyUpdates(message.spends, replayTime(ms));
        }
    }

    QuotaReplayTerms m_terms;
    const ReplayFleet &m_fleet;
    int m_interval;
    std::vector<Node> m_nodes;
    std::optional<CustomerQuota> m_quota;
    std::deque<Message> m_messages;
    double m_bytes = 0;
};

/// @brief Plays one customer's requests against a way of keeping quotas.
template <typename Way>
class QuotaReplay
{
public:
    using Fault = std::function<void(QuotaReplay &, int ms)>; ///< called at each millisecond

    explicit QuotaReplay(const QuotaReplayTerms &terms)
        : m_terms(terms)
        , m_random(terms.seed)
        , m_fleet{std::vector<bool>(terms.nodes, true), std::vector<bool>(terms.nodes, false),
                  std::vector<int>(terms.nodes, 0)}
        , m_way(terms, m_fleet)
    {
        for (std::size_t i = 0; i < terms.nodes; ++i) {
            m_way.start(i, -WarmUp);
        }
    }

    Way &way() { return m_way; }
    ReplayFleet &fleet() { return m_fleet; }
    void setDemand(double demand) { m_terms.demand = demand; }
    void kill(std::size_t node) { m_fleet.runs[node] = false; }
    void start(std::size_t node, int ms)
    {
        m_fleet.runs[node] = true;
        m_way.start(node, ms);
    }
    /// @brief The first part of the nodes is cut off from the others; 0 mends the links.
    void split(double part)
    {
        for (std::size_t i = 0; i < m_fleet.side.size(); ++i) {
            m_fleet.side[i] =
                    static_cast<double>(i) < part * static_cast<double>(m_terms.nodes) ? 1 : 0;
        }
    }
    /// @brief Each node of the first part is cut off from all others.
    void isolate(double part)
    {
        for (std::size_t i = 0; i < m_fleet.side.size(); ++i) {
            const bool isAlone = static_cast<double>(i) < part * static_cast<double>(m_terms.nodes);
            m_fleet.side[i] = isAlone ? static_cast<int>(i) + 1 : 0;
        }
    }
    void freeze(double part, bool isFrozen)
    {
        for (std::size_t i = 0; i < m_fleet.isFrozen.size(); ++i) {
            const bool isChosen =
                    static_cast<double>(i) < part * static_cast<double>(m_terms.nodes);
            m_fleet.isFrozen[i] = isFrozen && isChosen;
        }
    }

    void run(const Fault &fault)
    {
        TokenBucket owed(m_terms.quota.perSecond, m_terms.quota.burst, replayTime(-WarmUp));
        double due = 0;
        for (int ms = -WarmUp; ms < m_terms.length; ++ms) {
            fault(*this, ms);
            m_way.step(ms, m_random);
            constexpr double MeanTokens = 2815;
            due += m_terms.demand * m_terms.quota.perSecond / 1000 / MeanTokens;
            for (; due >= 1; due -= 1) {
                ask(ms, owed);
            }
        }
    }

    /// @brief Admitted in the worst window, as part of what is allowed there.
    [[nodiscard]] double worstWindow() const
    {
        const double allowed = m_terms.quota.perSecond * secondsOf(m_terms.tolerance.window)
                               + m_terms.quota.burst + m_terms.tolerance.excess(m_terms.quota);
        const auto window = static_cast<int>(secondsOf(m_terms.tolerance.window) * 1000);
        double sum = 0;
        double worst = 0;
        std::size_t first = 0;
        for (const auto &[ms, tokens] : m_admitted) {
            sum += tokens;
            for (; m_admitted[first].first <= ms - window; ++first) {
                sum -= m_admitted[first].second;
            }
            worst = std::max(worst, sum);
        }
        return worst / allowed;
    }
    /// @brief Tokens admitted, as part of those that lay within the quota.
    [[nodiscard]] double servedPart(int fromMs = 0, int toMs = 1 << 30) const
    {
        return sumOf(m_admitted, fromMs, toMs) / sumOf(m_owed, fromMs, toMs);
    }
    [[nodiscard]] double admittedBetween(int fromMs, int toMs) const
    {
        return sumOf(m_admitted, fromMs, toMs);
    }
    /// @brief Bytes that a node receives in a second.
    [[nodiscard]] double bytesPerNodeSecond() const
    {
        return m_way.bytes() / static_cast<double>(m_terms.nodes) / (m_terms.length + WarmUp)
               * 1000;
    }
    [[nodiscard]] Random &random() { return m_random; }
    [[nodiscard]] std::size_t nodes() const { return m_terms.nodes; }

private:
    using Amounts = std::vector<std::pair<int, double>>; ///< by millisecond
    static constexpr int WarmUp = 12'000;

    static double sumOf(const Amounts &amounts, int fromMs, int toMs)
    {
        double sum = 0;
        for (const auto &[ms, tokens] : amounts) {
            sum += ms >= fromMs && ms < toMs ? tokens : 0;
        }
        return sum;
    }
    double drawTokens()
    {
        constexpr double LongPart = 0.146;
        if (uniform(m_random) >= LongPart) {
            return 389;
        }
        constexpr double Spread = 0.7;
        constexpr double MaxTokens = 93'000;
        std::normal_distribution<double> normal(-Spread * Spread / 2, Spread);
        return std::min(MaxTokens, 17'020 * std::exp(normal(m_random)));
    }
    void ask(int ms, TokenBucket &owed)
    {
        const double tokens = drawTokens();
        const std::size_t node = uniformBelow(m_random, m_terms.nodes);
        if (!m_fleet.isUp(node)) {
            return; // the caller gets no connection
        }
        if (owed.take(tokens, replayTime(ms))) {
            m_owed.emplace_back(ms, tokens);
        }
        if (m_way.admit(node, tokens, ms, m_random)) {
            m_admitted.emplace_back(ms, tokens);
        }
    }

    QuotaReplayTerms m_terms;
    Random m_random;
    ReplayFleet m_fleet;
    Way m_way;
    Amounts m_owed;
    Amounts m_admitted;
};

} // namespace vanilladyke
