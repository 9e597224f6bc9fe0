#include "vanilladyke/policy/customer_share.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

constexpr double EqualPart = 0.1;
constexpr Duration DemandWindow = std::chrono::seconds(2);
/// Tokens per second. Lower demand is not reported: it changes no share by as much as EqualPart
/// does.
constexpr double LeastReportedDemand = 1.0;

/// The customer's burst; one second's worth of tokens if none is configured.
double burstOf(const Customer &customer)
{
    return customer.burstTokens > 0 ? customer.burstTokens : customer.tokensPerSecond;
}

} // namespace

double demandShare(double own, double others, std::uint32_t reportingPeers, std::uint32_t liveNodes)
{
    const double nodes = std::max(liveNodes, reportingPeers + 1);
    const double mean = (own + others) / (reportingPeers + 1);
    const double total = mean * nodes;
    const double byDemand = total > 0 ? own / total : 1.0 / nodes;
    return EqualPart / nodes + (1 - EqualPart) * byDemand;
}

void CustomerLimiter::Demand::add(double tokens, TimePoint now)
{
    perSecond = rate(now) + tokens / secondsOf(DemandWindow);
    at = now;
}

double CustomerLimiter::Demand::rate(TimePoint now) const
{
    return perSecond * std::exp(-secondsOf(now - at) / secondsOf(DemandWindow));
}

Outcome<void, TimePoint> CustomerLimiter::take(const Customer &customer, double tokens,
                                               std::uint32_t liveNodes, TimePoint now)
{
    if (customer.tokensPerSecond <= 0) {
        return {};
    }
    const auto [found, isNew] = m_own.try_emplace(customer.id);
    Own &own = found->second;
    own.demand.add(tokens, now);
    const double part = share(customer.id, liveNodes, now);
    const double perSecond = customer.tokensPerSecond * part;
    const double burst = burstOf(customer) * part;
    if (isNew) {
        own.bucket = TokenBucket(perSecond, burst, now);
    } else {
        own.bucket.configure(perSecond, burst, now);
    }
    const bool returned = m_returns.claim(customer.id, tokens, now);
    const double kept = returned ? 0 : m_returns.expected(customer.id);
    if (own.bucket.take(tokens, now, kept)) {
        return {};
    }
    const TimePoint at = own.bucket.availableAt(tokens, now, kept);
    m_returns.reserve(customer.id, tokens, at);
    return failure(TimePoint(at));
}

void CustomerLimiter::recordPeerDemand(const NodeId &peer,
                                       const std::vector<CustomerDemand> &demand, TimePoint now)
{
    Peer &report = m_peers[peer];
    report.receivedAt = now;
    report.demand.clear();
    for (const CustomerDemand &each : demand) {
        report.demand[each.customer] = each.tokensPerSecond;
    }
    std::erase_if(m_peers,
                  [now](const auto &item) { return now - item.second.receivedAt > PeerLoadLife; });
}

std::vector<CustomerDemand> CustomerLimiter::ownDemand(TimePoint now) const
{
    std::vector<CustomerDemand> demand;
    for (const auto &[customer, own] : m_own) {
        const double rate = own.demand.rate(now);
        if (rate >= LeastReportedDemand) {
            demand.push_back({customer, rate});
        }
    }
    const auto reported =
            demand.begin() + static_cast<std::ptrdiff_t>(std::min(demand.size(), MostToldDemands));
    std::partial_sort(demand.begin(), reported, demand.end(),
                      [](const CustomerDemand &a, const CustomerDemand &b) {
                          return a.tokensPerSecond > b.tokensPerSecond;
                      });
    demand.erase(reported, demand.end());
    return demand;
}

double CustomerLimiter::share(const CustomerId &customer, std::uint32_t liveNodes,
                              TimePoint now) const
{
    const auto own = m_own.find(customer);
    const double ownRate = own == m_own.end() ? 0 : own->second.demand.rate(now);
    double others = 0;
    std::uint32_t reporting = 0;
    for (const auto &[id, peer] : m_peers) {
        if (now - peer.receivedAt > PeerLoadLife) {
            continue;
        }
        ++reporting;
        const auto reported = peer.demand.find(customer);
        others += reported == peer.demand.end() ? 0 : reported->second;
    }
    return demandShare(ownRate, others, reporting, liveNodes);
}

} // namespace vanilladyke
