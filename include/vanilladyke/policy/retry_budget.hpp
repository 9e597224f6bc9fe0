#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <unordered_map>

/// Retry budget: how many requests may be sent a second time.
///
/// Load pattern: many backend servers fail or slow down at once, and every request is tried again.
/// Without a budget the retries double the load on the servers that are left, which then fail too,
/// and the fleet stays down after the cause is gone. Each first try earns a fraction of a retry,
/// for its model and for its customer; a retry needs one of both, so that neither a broken model
/// nor a customer whose requests fail uses up what belongs to others.
///
/// Grounds for the figures: the fraction comes from the bundle (0.1: a tenth more load at worst).
/// FirstRetries lets a quiet model retry at all. MostSaved is what the loss of one engine with
/// eight slots needs, and little enough that savings cannot feed a storm.
namespace vanilladyke {

/// @brief The budget of one model or of one customer.
class RetryBudget
{
public:
    static constexpr double FirstRetries = 3;
    static constexpr double MostSaved = 10;

    /// @brief Counts a first try, which earns the fraction of a retry.
    void countFirstTry(double fraction, TimePoint now);
    [[nodiscard]] bool available() const;
    void spend() { m_saved -= 1; }
    /// @brief When a whole retry will have been earned at the present rate of first tries; none if
    /// nothing is earned.
    [[nodiscard]] std::optional<TimePoint> availableAt(TimePoint now) const;

private:
    double m_saved = FirstRetries;
    double m_earnedPerSecond = 0;
    TimePoint m_at;
};

/// @brief The budgets of all models and customers of one node.
class RetryBudgets
{
public:
    void countFirstTry(const ModelId &model, const CustomerId &customer, double fraction,
                       TimePoint now);
    /// @brief Spends one retry of both, or none of either.
    [[nodiscard]] bool spend(const ModelId &model, const CustomerId &customer);
    /// @brief When a retry will be there for both.
    [[nodiscard]] std::optional<TimePoint> availableAt(const ModelId &model,
                                                       const CustomerId &customer, TimePoint now);

private:
    std::unordered_map<ModelId, RetryBudget> m_models;
    std::unordered_map<CustomerId, RetryBudget> m_customers;
};

} // namespace vanilladyke
