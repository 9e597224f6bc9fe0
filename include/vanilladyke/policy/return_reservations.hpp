#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>

/// Return reservations: capacity reserved for refused callers until their retry time.
///
/// Load pattern: sustained overload, where refused callers retry at the time they were given.
/// Without reservations every refused caller is given the same retry time, all retry together, and
/// all but one find the capacity taken again, so the retry time was wrong. Each refusal therefore
/// reserves its cost, and later refusals and new requests count reserved cost as backlog ahead of
/// them.
///
/// Constants: a reservation is kept for ReturnGrace past its time, because a Retry-After header
/// counts whole seconds (up to one second late), and the caller's clock and network path add to
/// that. Many callers never retry: the fraction of reservations that are claimed is learned, and
/// reserved cost counts by that fraction only, so that no-shows do not leave engines idle.
namespace vanilladyke {

/// @brief How long a reservation is kept after its time.
inline constexpr Duration ReturnGrace = std::chrono::seconds(2);

/// @brief Reservations that are neither claimed nor expired.
class ReturnReservations
{
public:
    /// @param capacity maximum number of reservations; beyond it, retry times are given without one
    explicit ReturnReservations(std::size_t capacity = DefaultCapacity)
        : m_capacity(capacity)
    {}

    /// @brief Reserves capacity for a caller that was given a retry time.
    void reserve(const CustomerId &customer, double cost, TimePoint due);
    /// @brief Claims a reservation of this customer that is due and covers the cost. @return
    /// whether there was one
    [[nodiscard]] bool claim(const CustomerId &customer, double cost, TimePoint now);
    /// @brief Drops the reservations whose grace period has passed.
    void expire(TimePoint now);

    /// @brief Reserved cost of all customers, weighted by the fraction expected to return.
    [[nodiscard]] double expected() const { return m_total * m_claimedFraction; }
    /// @brief Reserved cost of one customer, weighted by the fraction expected to return.
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
    void updateClaimedFraction(bool claimed);

    std::size_t m_capacity;
    Returns m_returns;
    std::unordered_map<CustomerId, PerCustomer> m_customers;
    double m_total = 0;
    double m_claimedFraction = 1.0;
};

} // namespace vanilladyke
