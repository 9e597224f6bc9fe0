#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"
#include "vanilladyke/policy/service_reach.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"

/// Observes which services this node reaches over its own links, and logs each change.
namespace vanilladyke {

/// @brief Feeds the results of the pool's attempts to connect to ServiceReach. For use on the
/// traffic thread only.
class ReachMonitor
{
public:
    ReachMonitor(BackendPool &pool, const BackendTracker &tracker, Metrics &metrics);
    ReachMonitor(const ReachMonitor &) = delete;
    ReachMonitor &operator=(const ReachMonitor &) = delete;

    [[nodiscard]] Reach reach(const ServiceId &service, TimePoint now) const
    {
        return m_reach.reach(service, now);
    }

private:
    void recordConnect(const EngineId &server, const ErrorCode &error, Duration took);
    void logReach(const ServiceId &service, const EngineId &server, TimePoint now) const;

    const BackendTracker &m_tracker;
    Metrics &m_metrics;
    ServiceReach m_reach;
};

} // namespace vanilladyke
