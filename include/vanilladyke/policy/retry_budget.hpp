#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <unordered_map>

/// Retry budget: limits how many requests may be sent a second time.
///
/// Load pattern: many backend servers fail or slow down at once, and every request is retried.
/// Without a budget the retries double the load on the remaining servers, which then fail too, and
/// the fleet stays down after the cause is gone. Each first attempt earns a fraction of a retry,
/// for its model and for its customer. A retry spends one of both, so that neither a broken model
/// nor a customer whose requests fail uses up the budget of others.
///
/// Constants: the fraction comes from the bundle (0.1: at most a tenth more load). FirstRetries
/// allows retries for a model with little traffic. The budget is capped at what the loss of the
/// largest engine needs: with less, half of the requests of a crashed engine were refused although
/// the other engines had room; with more, the accumulated budget could feed a retry storm.
namespace vanilladyke {

/// @brief How a budget accrues.
struct RetryTerms
{
    double fraction = 0; ///< retries earned per first attempt
    double cap = 0;      ///< maximum number of accumulated retries
};

/// @brief The budget of one model or of one customer.
class RetryBudget
{
public:
    static constexpr double FirstRetries = 3;

    /// @brief Counts a first attempt, which earns the fraction of a retry.
    void countFirstTry(const RetryTerms &terms, TimePoint now);
    [[nodiscard]] bool available() const;
    void spend() { m_accumulated -= 1; }
    /// @brief When a whole retry will have been earned at the present rate of first attempts; none
    /// if nothing is earned.
    [[nodiscard]] std::optional<TimePoint> availableAt(TimePoint now) const;

private:
    double m_accumulated = FirstRetries;
    double m_earnedPerSecond = 0;
    TimePoint m_at;
};

/// @brief The terms of a node's budgets: the fraction of the bundle, and the slots of the largest
/// engine as cap. The fleet must have a bundle.
[[nodiscard]] RetryTerms retryTerms(const Fleet &fleet);

/// @brief The budgets of all models and customers of one node.
class RetryBudgets
{
public:
    void countFirstTry(const ModelId &model, const CustomerId &customer, const RetryTerms &terms,
                       TimePoint now);
    /// @brief Spends one retry of the model and one of the customer, or neither. @return whether it
    /// did
    [[nodiscard]] bool spend(const ModelId &model, const CustomerId &customer);
    /// @brief When a retry will be available for both.
    [[nodiscard]] std::optional<TimePoint> availableAt(const ModelId &model,
                                                       const CustomerId &customer, TimePoint now);

private:
    std::unordered_map<ModelId, RetryBudget> m_models;
    std::unordered_map<CustomerId, RetryBudget> m_customers;
};

} // namespace vanilladyke
