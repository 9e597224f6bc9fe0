#pragma once

#include "vanilladyke/base/time.hpp"

namespace vanilladyke {

/// @brief A clock that counts the time during which the host was suspended, as the monotonic clock
/// does not. What must not be trusted after a pause is aged by it: proofs of keys, leases.
struct BootClock
{
    [[nodiscard]] static TimePoint now();
};

} // namespace vanilladyke
