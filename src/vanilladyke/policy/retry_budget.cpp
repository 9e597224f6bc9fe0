#include "vanilladyke/policy/retry_budget.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Averaging window for the rate of earning, which is only used to compute retry times.
constexpr Duration RateWindow = std::chrono::seconds(5);
/// Compensates for the rounding error in sums of many fractions.
constexpr double RoundingTolerance = 1e-9;
/// Lower bound of the cap on accumulated retries; plain services have no slots to derive it from.
constexpr double LeastCap = 10;

} // namespace

void RetryBudget::countFirstTry(const RetryTerms &terms, TimePoint now)
{
    const double fade = std::exp(-secondsOf(now - m_at) / secondsOf(RateWindow));
    m_earnedPerSecond = m_earnedPerSecond * fade + terms.fraction / secondsOf(RateWindow);
    m_at = now;
    m_accumulated = std::min(std::max(FirstRetries, terms.cap), m_accumulated + terms.fraction);
}

bool RetryBudget::available() const
{
    return m_accumulated + RoundingTolerance >= 1;
}

std::optional<TimePoint> RetryBudget::availableAt(TimePoint now) const
{
    if (available()) {
        return now;
    }
    if (m_earnedPerSecond <= 0) {
        return std::nullopt;
    }
    return now + spanOfSeconds((1 - m_accumulated) / m_earnedPerSecond);
}

RetryTerms retryTerms(const Fleet &fleet)
{
    const double largest = fleet.index ? fleet.index->largestSlots() : 0;
    return {fleet.bundle->limits.retryFraction, std::max(LeastCap, largest)};
}

void RetryBudgets::countFirstTry(const ModelId &model, const CustomerId &customer,
                                 const RetryTerms &terms, TimePoint now)
{
    m_models[model].countFirstTry(terms, now);
    m_customers[customer].countFirstTry(terms, now);
}

bool RetryBudgets::spend(const ModelId &model, const CustomerId &customer)
{
    RetryBudget &ofModel = m_models[model];
    RetryBudget &ofCustomer = m_customers[customer];
    if (!ofModel.available() || !ofCustomer.available()) {
        return false;
    }
    ofModel.spend();
    ofCustomer.spend();
    return true;
}

std::optional<TimePoint> RetryBudgets::availableAt(const ModelId &model, const CustomerId &customer,
                                                   TimePoint now)
{
    const auto ofModel = m_models[model].availableAt(now);
    const auto ofCustomer = m_customers[customer].availableAt(now);
    if (!ofModel || !ofCustomer) {
        return std::nullopt;
    }
    return std::max(*ofModel, *ofCustomer);
}

} // namespace vanilladyke
