#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
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
/// FirstRetries lets a quiet model retry at all. What may be saved is what the loss of the largest
/// engine needs: with less, half of the requests of an engine that crashed were refused although
/// the others had room; with more, savings could feed a storm.
namespace vanilladyke {

/// @brief What a budget earns.
struct RetryTerms
{
    double fraction = 0;  ///< of a retry, for each first try
    double mostSaved = 0; ///< retries that may be saved up
};

/// @brief The budget of one model or of one customer.
class RetryBudget
{
public:
    static constexpr double FirstRetries = 3;

    /// @brief Counts a first try, which earns the fraction of a retry.
    void countFirstTry(const RetryTerms &terms, TimePoint now);
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

/// @brief The terms under which a node's budgets earn: the bundle's fraction, and the loss of the
/// largest engine. The fleet must have a bundle.
[[nodiscard]] RetryTerms retryTerms(const Fleet &fleet);

/// @brief The budgets of all models and customers of one node.
class RetryBudgets
{
public:
    void countFirstTry(const ModelId &model, const CustomerId &customer, const RetryTerms &terms,
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
