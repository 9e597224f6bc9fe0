#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>

/// Return times: the capacity that refused callers were told to come back for.
///
/// Load pattern: sustained overload, where callers come back when told. Without the book every
/// refused caller hears the same time, they all return together, and all but one find the capacity
/// taken again, so that the time they were told was not true. Each refusal therefore books its
/// cost, which later refusals and fresh requests count as work ahead of them.
///
/// Grounds for the figures: a return is kept for ReturnGrace past its time, because a
/// Retry-After header counts whole seconds (up to one late) and the caller's clock and path add to
/// that. Many callers never return; the share of returns that were taken up is learned, and booked
/// work counts by that share only, so that no-shows do not leave engines idle.
namespace vanilladyke {

/// @brief How long after its time a return is still kept.
inline constexpr Duration ReturnGrace = std::chrono::seconds(2);

/// @brief The returns that were promised and are not yet taken up.
class ReturnBook
{
public:
    /// @param capacity returns kept at most; past it times are told without being kept
    explicit ReturnBook(std::size_t capacity = DefaultCapacity)
        : m_capacity(capacity)
    {}

    /// @brief Keeps capacity for a caller that was told to come back.
    void promise(const CustomerId &customer, double cost, TimePoint due);
    /// @brief Takes up a return of this customer that is due and covers the cost.
    [[nodiscard]] bool redeem(const CustomerId &customer, double cost, TimePoint now);
    /// @brief Drops the returns whose grace has passed.
    void expire(TimePoint now);

    /// @brief Booked cost of all customers, by the share that is expected to return.
    [[nodiscard]] double expected() const { return m_total * m_taken; }
    /// @brief Booked cost of one customer, by the share that is expected to return.
    [[nodiscard]] double expected(const CustomerId &customer) const;
    [[nodiscard]] std::size_t size() const { return m_returns.size(); }

private:
    static constexpr std::size_t DefaultCapacity = 10'000;

    struct Return
    {
        CustomerId customer;
        double cost = 0;
    };
    using Returns = std::multimap<TimePoint, Return>;
    struct PerCustomer
    {
        double cost = 0;
        std::multimap<TimePoint, Returns::iterator> dues;
    };

    void erase(Returns::iterator entry);
    void learn(bool taken);

    std::size_t m_capacity;
    Returns m_returns;
    std::unordered_map<CustomerId, PerCustomer> m_customers;
    double m_total = 0;
    double m_taken = 1.0;
};

} // namespace vanilladyke
