#include "vanilladyke/policy/fleet_quota.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// The part of the fleet that is heard is counted anew after this time.
constexpr Duration CountInterval = std::chrono::milliseconds(20);
/// Below this part of the account's capacity, what is admitted is told at once.
constexpr double LowLevel = 0.5;

double amountOf(const CustomerQuota &quota, std::optional<double> tokens)
{
    return quota.unit == QuotaUnit::Requests ? 1 : tokens.value_or(quota.plainTokens);
}

} // namespace

void FleetQuota::setCustomers(const std::vector<RoutedCustomer> &customers, TimePoint now)
{
    advance(now);
    std::unordered_map<std::uint64_t, Account> accounts;
    for (const RoutedCustomer &each : customers) {
        if (!each.quota) {
            continue;
        }
        const std::uint64_t customer = hashOfName(each.id.str());
        const auto known = m_accounts.find(customer);
        Account account;
        if (known != m_accounts.end()) {
            grow(known->second);
            account = known->second;
        }
        account.id = each.id;
        account.quota = *each.quota;
        accounts[customer] = account;
    }
    m_accounts = std::move(accounts);
}

void FleetQuota::nodeHeard(std::uint64_t node, bool isStopping, TimePoint now)
{
    advance(now); // before this node counts as heard: a process that wakes has heard nothing
    const Peer heard{node, now, isStopping};
    const auto found = std::lower_bound(
            m_peers.begin(), m_peers.end(), node,
            [](const Peer &peer, std::uint64_t wanted) { return peer.node < wanted; });
    if (found != m_peers.end() && found->node == node) {
        *found = heard;
    } else {
        m_peers.insert(found, heard);
    }
    m_newsAt = now;
}

Duration FleetQuota::longHearing() const
{
    return std::clamp<Duration>(m_interval * 5 / 4, MinHearing, MaxHearing);
}

double FleetQuota::heardPart(TimePoint now) const
{
    double heard = std::min(1.0, HearingMargin * heardWithin(longHearing(), now));
    if (now - m_stalledUntil > ShortHearing) {
        heard = std::min(heard, ShortHearingMargin * heardWithin(ShortHearing, now));
    }
    return m_adopted && now < m_adoptedUntil ? std::max(heard, m_adopted->heard) : heard;
}

double FleetQuota::heardWithin(Duration time, TimePoint now) const
{
    std::size_t heard = 0;
    std::size_t others = 0;
    for (const Peer &peer : m_peers) {
        const Duration silence = now - peer.heardAt;
        const bool isHeard = silence <= time;
        heard += isHeard ? 1 : 0;
        others += isHeard || (!peer.isStopping && silence <= MemberFor) ? 1 : 0;
    }
    if (now - m_startedAt < ListedFor) {
        others = std::max(others, m_listed - 1);
    }
    // With long intervals only some of the nodes send an update within the time.
    const double sending = std::min(1.0, secondsOf(time) / std::max(secondsOf(m_interval), 1e-3));
    const double reached = static_cast<double>(heard) / sending;
    return (1 + reached) / (1 + static_cast<double>(others));
}

void FleetQuota::advance(TimePoint now)
{
    if (now - m_at < CountInterval) {
        return;
    }
    if (now - m_at > StallLimit) {
        m_stalledUntil = now;
    }
    m_heard = heardPart(now);
    m_heardSeconds += secondsOf(now - m_at) * m_heard;
    m_at = now;
    std::erase_if(m_peers, [now](const Peer &peer) { return now - peer.heardAt > MemberFor; });
}

double FleetQuota::capacity(const CustomerQuota &quota) const
{
    return quota.burst + UsedSlack * m_tolerance.slack;
}

void FleetQuota::grow(Account &account) const
{
    const double grown = account.quota.perSecond * (m_heardSeconds - account.grownAt);
    account.grownAt = m_heardSeconds;
    account.level = std::min(account.level + grown, m_heard * capacity(account.quota));
    account.awaited = std::max(0.0, account.awaited - grown);
}

std::optional<double> FleetQuota::level(std::uint64_t customer, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end()) {
        return std::nullopt;
    }
    advance(now);
    grow(found->second);
    return found->second.level;
}

std::vector<QuotaAccount> FleetQuota::usedAccounts(TimePoint now)
{
    advance(now);
    std::vector<QuotaAccount> result;
    for (auto &[customer, account] : m_accounts) {
        if (account.admitted > 0 || account.refusals > 0) {
            grow(account);
            result.push_back({account.id, account.quota.perSecond, account.level, account.admitted,
                              account.refusals});
        }
    }
    return result;
}

bool FleetQuota::needsLevels(TimePoint now) const
{
    return !m_adopted && !m_accounts.empty() && now - m_startedAt < ListedFor;
}

std::optional<QuotaLevels> FleetQuota::levels(TimePoint now)
{
    if (now - m_startedAt < SettledAfter) {
        return std::nullopt;
    }
    advance(now);
    QuotaLevels result;
    result.heard = m_heard;
    for (auto &[customer, account] : m_accounts) {
        grow(account);
        if (account.level < FullLevel * capacity(account.quota)) {
            result.low.push_back({customer, std::llround(account.level)});
        }
    }
    return result;
}

void FleetQuota::applyLevels(const QuotaLevels &levels, TimePoint now)
{
    if (m_adopted) {
        return;
    }
    advance(now);
    m_adopted = levels;
    m_adoptedUntil = now + longHearing();
    m_heard = std::max(m_heard, levels.heard);
    for (auto &[customer, account] : m_accounts) {
        account.level = capacity(account.quota);
        account.grownAt = m_heardSeconds;
    }
    for (const QuotaLevel &each : levels.low) {
        const auto found = m_accounts.find(each.customer);
        if (found != m_accounts.end()) {
            found->second.level = static_cast<double>(each.level);
        }
    }
}

QuotaDecision FleetQuota::admit(std::uint64_t customer, std::optional<double> tokens,
                                TimePoint latestReturn, Random &random, TimePoint now)
{
    QuotaDecision decision;
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end()) {
        return decision;
    }
    advance(now);
    Account &account = found->second;
    grow(account);
    const CustomerQuota &quota = account.quota;
    decision.perSecond = quota.perSecond;
    decision.amount = amountOf(quota, tokens);
    decision.level = account.level;
    decision.awaited = account.awaited;
    decision.heard = m_heard;
    decision.newsAge = m_newsAt == TimePoint::min() ? Duration::max() : now - m_newsAt;
    // A request larger than the whole account is admitted by a full one, and leaves a debt.
    const double needed = std::min(decision.amount, capacity(quota));
    if (account.level >= needed) {
        account.level -= decision.amount;
        account.admitted += decision.amount;
        tell(customer, account, {toldAmount(quota, decision.amount, random), 0}, now);
        return decision;
    }
    decision.isAdmitted = false;
    ++account.refusals;
    const double perSecond = quota.perSecond * m_heard;
    if (perSecond > 0) {
        const double seconds = (needed - account.level + account.awaited) / perSecond;
        constexpr double MaxSeconds = 3600;
        decision.retryAt = now + spanOfSeconds(std::min(seconds, MaxSeconds));
        if (*decision.retryAt <= latestReturn) {
            account.awaited += decision.amount;
            tell(customer, account, {0, toldAmount(quota, decision.amount, random)}, now);
        }
    }
    return decision;
}

void FleetQuota::giveBack(std::uint64_t customer, double amount, Random &random, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || amount <= 0) {
        return;
    }
    advance(now);
    Account &account = found->second;
    grow(account);
    account.level = std::min(account.level + amount, m_heard * capacity(account.quota));
    account.admitted -= amount;
    tell(customer, account, {-toldAmount(account.quota, amount, random), 0}, now);
}

std::int64_t FleetQuota::toldAmount(const CustomerQuota &quota, double amount, Random &random) const
{
    const double least = ToldPart * m_tolerance.excess(quota);
    if (amount < least) {
        return uniform(random) < amount / least ? std::llround(least) : 0;
    }
    return std::llround(amount);
}

void FleetQuota::tell(std::uint64_t customer, const Account &account, const Told &amounts,
                      TimePoint now)
{
    if (amounts.admitted == 0 && amounts.refused == 0) {
        return;
    }
    Told &told = m_untold[customer];
    told.admitted += amounts.admitted;
    told.refused += amounts.refused;
    const CustomerQuota &quota = account.quota;
    const double tolerated =
            m_tolerance.excess(quota) / (ExpectedSurge * std::max(quota.perSecond, 1e-9));
    const bool isLow = account.level < LowLevel * capacity(quota);
    const Duration delay = isLow ? MinTellDelay
                                 : spanOfSeconds(std::clamp(tolerated, secondsOf(MinTellDelay),
                                                            secondsOf(MaxTellDelay)));
    m_tellBy = std::min(m_tellBy.value_or(TimePoint::max()), now + delay);
}

std::vector<SpendUpdate> FleetQuota::takeUpdates()
{
    std::vector<SpendUpdate> updates;
    updates.reserve(m_untold.size());
    for (const auto &[customer, told] : m_untold) {
        updates.push_back({customer, told.admitted, told.refused});
    }
    m_untold.clear();
    m_tellBy.reset();
    return updates;
}

void FleetQuota::applyUpdates(const std::vector<SpendUpdate> &updates, TimePoint now)
{
    advance(now);
    for (const SpendUpdate &each : updates) {
        const auto found = m_accounts.find(each.customer);
        if (found == m_accounts.end()) {
            continue;
        }
        Account &account = found->second;
        grow(account);
        account.level -= static_cast<double>(each.admitted);
        account.awaited += static_cast<double>(each.refused);
    }
}

} // namespace vanilladyke
