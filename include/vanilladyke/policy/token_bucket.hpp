#pragma once

#include "vanilladyke/base/time.hpp"

/// Token bucket: limits a rate and allows a burst.
///
/// Load pattern: a caller that sends in bursts, or steadily above its limit. Without a limit its
/// requests fill the engines before the fair queue can separate customers. Rate and burst come from
/// the bundle.
namespace vanilladyke {

/// @brief A bucket that refills at a steady rate up to its burst.
///
/// A demand above the whole burst is granted once the bucket is full, and leaves a negative level.
/// Otherwise a prompt longer than the burst could never be served.
class TokenBucket
{
public:
    TokenBucket() = default;
    TokenBucket(double perSecond, double burst, TimePoint now);

    /// @brief Changes rate and burst; the present level is kept, up to the new burst.
    void configure(double perSecond, double burst, TimePoint now);
    /// @brief Takes the amount if available. @param spare tokens that must remain in the bucket
    [[nodiscard]] bool take(double amount, TimePoint now, double spare = 0);
    /// @brief When the same take would succeed if there is no other take before.
    [[nodiscard]] TimePoint availableAt(double amount, TimePoint now, double spare = 0) const;
    [[nodiscard]] double level(TimePoint now) const;

private:
    [[nodiscard]] double needed(double amount, double spare) const;

    double m_perSecond = 0;
    double m_burst = 0;
    double m_level = 0;
    TimePoint m_at;
};

} // namespace vanilladyke
