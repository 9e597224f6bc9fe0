#pragma once

#include "vanilladyke/base/time.hpp"

namespace vanilladyke {

/// @brief A clock that keeps counting while the host is suspended, unlike the monotonic clock. Used
/// for what expires during a suspension too: freshness proofs of keys, and leases.
struct BootClock
{
    [[nodiscard]] static TimePoint now();
};

} // namespace vanilladyke
