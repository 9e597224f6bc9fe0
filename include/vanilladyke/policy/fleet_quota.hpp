#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Quotas of customers over all nodes together.
///
/// Load pattern: a customer sends many times what it pays for, through all nodes at once, while
/// nodes end, start, freeze and lose each other. Its prompts are long: a node's equal part of a
/// quota is less than one of them, so that fixed parts either refuse every long prompt or admit one
/// at each node. Each node therefore keeps the whole account of each customer: what it admitted
/// itself, and what the other nodes tell that they admitted. No node is asked before a request is
/// served, and no account has an owner that may be lost.
///
/// What a node doesn't hear of, others may spend. The account of a node therefore grows by that
/// part of the quota which the nodes that it has just heard from, itself included, are of all
/// nodes, and holds no more than that part of the burst. Two halves of a fleet that lose each other
/// have half of the quota each, and a node that is alone has its equal part. A process that starts
/// asks others for the levels of their accounts. If all processes have just started, nobody knows
/// what was spent before, and all accounts begin empty.
///
/// A node tells what it admits with its next update. Where a customer spends in that time more than
/// the excess that is tolerated, it tells sooner; where the account is low, at once. Small requests
/// are told by chance, as one larger amount, so that the messages of a customer are bounded by its
/// quota and not by the number of its requests.
namespace vanilladyke {

/// @brief Excess over a quota that the platform tolerates.
struct QuotaTolerance
{
    Duration window = std::chrono::seconds(8); ///< in which the excess is counted
    double over = 0;                           ///< fraction of the quota of a window and its burst
    double slack = 0;                          ///< besides, in units of the quota

    /// @brief The excess in one window.
    [[nodiscard]] double excess(const CustomerQuota &quota) const
    {
        return (quota.perSecond * secondsOf(window) + quota.burst) * over + slack;
    }
};

/// @brief What a node admitted and refused of a customer since its update before.
struct SpendUpdate
{
    std::uint64_t customer = 0; ///< hash of its id
    std::int64_t admitted = 0;  ///< negative if requests that were admitted have not run
    std::int64_t refused = 0;   ///< of requests whose callers were told when to come back
};

/// @brief The level of one customer's account, as a node tells it to one that has just started.
struct QuotaLevel
{
    std::uint64_t customer = 0; ///< hash of its id
    std::int64_t level = 0;
};

/// @brief Levels of a node's accounts; those that are not listed are full.
struct QuotaLevels
{
    std::vector<QuotaLevel> low;
    double heard = 0; ///< part of the fleet that the node hears
};

/// @brief A decision on one request, with its inputs for the log.
struct QuotaDecision
{
    bool isAdmitted = true;
    double perSecond = 0; ///< of the customer's quota; 0: it has none
    double amount = 0;    ///< of the request, in units of the quota
    double level = 0;     ///< of the account before the request
    double awaited = 0;   ///< amount that refused callers were told to come back with
    double heard = 0;     ///< part of the fleet that this node hears
    Duration newsAge{};   ///< of the latest update of another node; maximum if there was none
    std::optional<TimePoint> retryAt; ///< refused: when it could be admitted
};

/// @brief What one account holds, for metrics.
struct QuotaAccount
{
    CustomerId customer;
    double perSecond = 0;
    double level = 0;
    double admitted = 0;        ///< by this node since its start, in units of the quota
    std::uint64_t refusals = 0; ///< by this node since its start
};

/// @brief The accounts of all customers at one node. Pure.
class FleetQuota
{
public:
    /// Part of the tolerated slack by which an account is larger than the burst, so that a prompt
    /// larger than a small customer's burst can be served.
    static constexpr double UsedSlack = 0.25;
    /// Part of the tolerated excess as which a small request is told.
    static constexpr double ToldPart = 0.01;
    /// A customer's demand may rise to so many times its quota within one moment; what its nodes
    /// admit until they hear of each other has to stay within the tolerated excess.
    static constexpr double ExpectedSurge = 24;
    static constexpr Duration MinTellDelay = std::chrono::milliseconds(20);
    static constexpr Duration MaxTellDelay = std::chrono::seconds(2);
    /// Nodes that were heard of within this time count as the fleet's.
    static constexpr Duration MemberFor = std::chrono::seconds(60);
    /// Time after a start for which the nodes of the list count, too.
    static constexpr Duration ListedFor = std::chrono::seconds(5);
    /// A process tells its levels to others once it has run for so long.
    static constexpr Duration SettledAfter = std::chrono::seconds(1);
    /// Accounts above this part of their capacity count as full for others.
    static constexpr double FullLevel = 0.9;
    /// Time within which updates of the other nodes are expected, unless their interval is longer
    /// than its minimum and shorter than its maximum.
    static constexpr Duration MinHearing = std::chrono::milliseconds(400);
    static constexpr Duration MaxHearing = std::chrono::milliseconds(800);
    /// Some updates are lost or late.
    static constexpr double HearingMargin = 1.04;
    /// A node that is cut off notices within this time that it hears less. In so short a time the
    /// number of updates varies more.
    static constexpr Duration ShortHearing = std::chrono::milliseconds(160);
    static constexpr double ShortHearingMargin = 1.4;
    /// A process that stood still for longer has not read what arrived meanwhile.
    static constexpr Duration StallLimit = std::chrono::milliseconds(60);

    explicit FleetQuota(TimePoint startedAt)
        : m_startedAt(startedAt)
        , m_at(startedAt)
    {}

    void setTolerance(const QuotaTolerance &tolerance) { m_tolerance = tolerance; }
    /// @brief Replaces the quotas; accounts of customers that remain are kept.
    void setCustomers(const std::vector<RoutedCustomer> &customers, TimePoint now);
    /// @brief Sets the number of listed nodes, this one included.
    void setNodes(std::size_t nodes) { m_listed = std::max<std::size_t>(nodes, 1); }
    /// @brief Sets the interval of the nodes' updates.
    void setInterval(Duration interval) { m_interval = interval; }
    /// @brief Another node's update was received. @param isStopping it takes no new callers
    void nodeHeard(std::uint64_t node, bool isStopping, TimePoint now);

    /// @brief Admits a request if its customer's account holds its amount, and takes it.
    /// @param tokens none if the request names no number
    /// @param latestReturn until which the caller may come back
    [[nodiscard]] QuotaDecision admit(std::uint64_t customer, std::optional<double> tokens,
                                      TimePoint latestReturn, Random &random, TimePoint now);
    /// @brief A request that was admitted has not run and never will.
    void giveBack(std::uint64_t customer, double amount, Random &random, TimePoint now);

    /// @brief When what this node admitted has to be told; none if there is nothing.
    [[nodiscard]] std::optional<TimePoint> tellBy() const { return m_tellBy; }
    /// @brief What was admitted and refused since the last call.
    [[nodiscard]] std::vector<SpendUpdate> takeUpdates();
    void applyUpdates(const std::vector<SpendUpdate> &updates, TimePoint now);

    /// @brief Whether this process should ask others for the levels of their accounts.
    [[nodiscard]] bool needsLevels(TimePoint now) const;
    /// @brief The levels for a process that has just started; none if this one has, too.
    [[nodiscard]] std::optional<QuotaLevels> levels(TimePoint now);
    /// @brief Takes over what another node knows; only the first levels count.
    void applyLevels(const QuotaLevels &levels, TimePoint now);

    /// @brief To be called at least every 20 ms, so that times at which this process stood still
    /// are noticed.
    void step(TimePoint now) { advance(now); }
    /// @brief Part of the fleet, this node included, that this node hears; above 0.
    [[nodiscard]] double heardPart(TimePoint now) const;
    /// @brief What a customer could be admitted now; none if it has no quota.
    [[nodiscard]] std::optional<double> level(std::uint64_t customer, TimePoint now);
    /// @brief The accounts from which this node has admitted or refused a request.
    [[nodiscard]] std::vector<QuotaAccount> usedAccounts(TimePoint now);

private:
    struct Account
    {
        CustomerId id;
        CustomerQuota quota;
        double level = 0;
        double awaited = 0; ///< see QuotaDecision
        double grownAt = 0; ///< m_heardSeconds up to which the level has grown
        double admitted = 0;
        std::uint64_t refusals = 0;
    };
    struct Peer
    {
        std::uint64_t node = 0;
        TimePoint heardAt;
        bool isStopping = false;
    };
    struct Told
    {
        std::int64_t admitted = 0;
        std::int64_t refused = 0;
    };

    /// Counts the time for which this node heard others up to now.
    void advance(TimePoint now);
    void grow(Account &account) const;
    [[nodiscard]] double capacity(const CustomerQuota &quota) const;
    [[nodiscard]] Duration longHearing() const;
    /// Part of the fleet that was heard within so long; may exceed 1.
    [[nodiscard]] double heardWithin(Duration time, TimePoint now) const;
    /// The amount to be told of so many units, or 0: on average it is the same.
    [[nodiscard]] std::int64_t toldAmount(const CustomerQuota &quota, double amount,
                                          Random &random) const;
    void tell(std::uint64_t customer, const Account &account, const Told &amounts, TimePoint now);

    TimePoint m_startedAt;
    TimePoint m_at;            ///< up to which m_heardSeconds counts
    double m_heardSeconds = 0; ///< since the start, each weighted by the part of the fleet heard
    double m_heard = 0;        ///< that part, at m_at
    /// What a node told that knew the fleet counts until this one has heard of all nodes itself.
    std::optional<QuotaLevels> m_adopted;
    TimePoint m_adoptedUntil;
    TimePoint m_stalledUntil; ///< end of the last time at which this process stood still
    TimePoint m_newsAt = TimePoint::min();
    QuotaTolerance m_tolerance;
    Duration m_interval = std::chrono::milliseconds(80);
    std::size_t m_listed = 1;
    std::unordered_map<std::uint64_t, Account> m_accounts;
    std::vector<Peer> m_peers; ///< by node
    std::unordered_map<std::uint64_t, Told> m_untold;
    std::optional<TimePoint> m_tellBy;
};

} // namespace vanilladyke
