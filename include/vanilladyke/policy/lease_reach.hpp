#pragma once

#include "vanilladyke/base/time.hpp"

/// Whether the holder of the lease of orders should hand it on, since engines don't answer it.
///
/// Load pattern: a link between the holder and the engines is cut, loses packets or is choked,
/// while the holder still reaches the store. It renews the lease for as long as that lasts, and
/// nobody else may order: all engines stay on old weights. The same for some of the engines, once
/// all others have been brought to new ones.
namespace vanilladyke {

/// @brief What one node sees of the engines that still need an order. Pure.
class LeaseReach
{
public:
    /// Fewer tries without an answer may be engines that are down.
    static constexpr int LeastFailures = 3;
    /// No engine answered for so long; two questions in a row fit in it.
    static constexpr Duration LongestSilence = std::chrono::milliseconds(1500);
    /// A node that handed the lease on leaves it to others for so long; doubled each time, until an
    /// engine answers it.
    static constexpr Duration FirstPause = std::chrono::seconds(4);
    static constexpr Duration LongestPause = std::chrono::seconds(16);

    /// @brief An engine answered a question or an order.
    void answered(TimePoint now);
    /// @brief An engine did not answer in time.
    void failed(TimePoint now);
    [[nodiscard]] bool isLost(TimePoint now) const;
    /// @brief This node gives the lease back for that reason.
    void handedOn(TimePoint now);
    /// @brief This node leaves the lease to others.
    [[nodiscard]] bool isPausing(TimePoint now) const { return now < m_pausesUntil; }
    [[nodiscard]] int failures() const { return m_failures; }

private:
    int m_failures = 0; ///< since an engine answered
    TimePoint m_silentSince;
    Duration m_pause{};
    TimePoint m_pausesUntil;
};

} // namespace vanilladyke
