#include "vanilladyke/policy/return_reservations.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Weight of one reservation in the learned fraction: about fifty of them outweigh earlier ones,
/// which takes a few seconds at the refusal rate of one node.
constexpr double LearningRate = 0.05;

} // namespace

void ReturnReservations::reserve(const CustomerId &customer, double cost, TimePoint due)
{
    if (m_returns.size() >= m_capacity) {
        return;
    }
    const auto entry = m_returns.emplace(due, Return{customer, cost});
    PerCustomer &own = m_customers[customer];
    own.cost += cost;
    own.dues.emplace(due, entry);
    m_total += cost;
}

bool ReturnReservations::claim(const CustomerId &customer, double cost, TimePoint now)
{
    expire(now);
    const auto own = m_customers.find(customer);
    if (own == m_customers.end()) {
        return false;
    }
    const auto &dues = own->second.dues;
    for (auto due = dues.begin(); due != dues.end() && due->first <= now; ++due) {
        if (due->second->second.cost >= cost) {
            erase(due->second);
            updateClaimedFraction(true);
            return true;
        }
    }
    return false;
}

void ReturnReservations::expire(TimePoint now)
{
    while (!m_returns.empty() && m_returns.begin()->first + ReturnGrace < now) {
        erase(m_returns.begin());
        updateClaimedFraction(false);
    }
}

double ReturnReservations::expected(const CustomerId &customer) const
{
    const auto own = m_customers.find(customer);
    return own == m_customers.end() ? 0 : own->second.cost * m_claimedFraction;
}

void ReturnReservations::erase(Returns::iterator entry)
{
    const auto own = m_customers.find(entry->second.customer);
    auto &dues = own->second.dues;
    const auto [first, last] = dues.equal_range(entry->first);
    dues.erase(std::find_if(first, last, [&](const auto &due) { return due.second == entry; }));
    own->second.cost -= entry->second.cost;
    m_total -= entry->second.cost;
    if (dues.empty()) {
        m_customers.erase(own);
    }
    m_returns.erase(entry);
    if (m_returns.empty()) {
        m_total = 0; // prevents accumulated rounding errors
    }
}

void ReturnReservations::updateClaimedFraction(bool claimed)
{
    m_claimedFraction += LearningRate * ((claimed ? 1.0 : 0.0) - m_claimedFraction);
}

} // namespace vanilladyke
