#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

/// The part of Exchange that takes requests from the quotas of customers.
namespace vanilladyke {

namespace {

/// Callers come back at the time that they are told if it is within this part of the time that they
/// have left.
constexpr int CallersPatience = 3;

} // namespace

std::optional<Refusal> Exchange::chargeQuota(TimePoint now)
{
    if (m_customer == nullptr || !m_customer->quota || m_request->relay) {
        return std::nullopt; // the node that handed it on has taken it from the quota
    }
    std::optional<double> tokens;
    if (m_request->namesTokens) {
        tokens = static_cast<double>(m_request->promptTokens + m_request->maxOutputTokens);
    }
    const TimePoint end =
            std::min(now + m_route->timeout, m_request->deadline.value_or(TimePoint::max()));
    const TimePoint latestReturn = now + (end - now) / CallersPatience;
    const QuotaDecision decision =
            m_state.quota.admit(customerHash(), tokens, latestReturn, m_state.random, now);
    if (decision.isAdmitted) {
        m_charged = decision.amount;
        return std::nullopt;
    }
    LogEvent("over_quota")
            .field("id", m_request->id)
            .field("customer", m_customer->id.str())
            .field("config", m_table->config().version)
            .field("per_second", decision.perSecond)
            .field("amount", decision.amount)
            .field("level", decision.level)
            .field("awaited", decision.awaited)
            .field("heard", decision.heard)
            .field("news_age_ms", decision.newsAge)
            .field("retry_ms", decision.retryAt ? *decision.retryAt - now : Duration::zero());
    return Refusal{RefusalReason::RateLimited, "over the customer's quota", Ran::No,
                   decision.retryAt};
}

void Exchange::returnUnusedCharge()
{
    if (m_charged > 0 && ran() == Ran::No) {
        m_state.quota.giveBack(customerHash(), m_charged, m_state.random, MonotonicClock::now());
    }
}

} // namespace vanilladyke
