#pragma once

#include "vanilladyke/base/time.hpp"

/// Token bucket: a rate with room for a burst.
///
/// Load pattern: a caller that sends in bursts, or steadily above what was agreed. Without a limit
/// its work fills the engines before fairness in the queue can tell customers apart. Rate and burst
/// come from the bundle.
namespace vanilladyke {

/// @brief A bucket that refills at a steady rate up to its burst.
///
/// A demand above the whole burst is met once the bucket is full, and leaves a debt: otherwise a
/// prompt longer than the burst could never be served.
class TokenBucket
{
public:
    TokenBucket() = default;
    TokenBucket(double perSecond, double burst, TimePoint now);

    /// @brief Changes rate and burst; what is in the bucket stays, up to the new burst.
    void configure(double perSecond, double burst, TimePoint now);
    /// @brief Takes the amount if it is there. @param spare tokens that must stay behind
    [[nodiscard]] bool take(double amount, TimePoint now, double spare = 0);
    /// @brief When the same take would succeed, if nobody else takes before.
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
