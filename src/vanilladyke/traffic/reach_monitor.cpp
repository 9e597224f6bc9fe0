#include "vanilladyke/traffic/reach_monitor.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

ReachMonitor::ReachMonitor(BackendPool &pool, const BackendTracker &tracker, Metrics &metrics)
    : m_tracker(tracker)
    , m_metrics(metrics)
{
    pool.onConnectEnded = [this](const EngineId &server, const ErrorCode &error, Duration took) {
        recordConnect(server, error, took);
    };
}

void ReachMonitor::recordConnect(const EngineId &server, const ErrorCode &error, Duration took)
{
    const BackendEntry *entry = m_tracker.entryOf(server);
    if (entry == nullptr) {
        return;
    }
    const ServiceId service = entry->service;
    const TimePoint now = MonotonicClock::now();
    const std::size_t known = m_tracker.serversOf(service);
    if (!error) {
        if (m_reach.connected(service, server, known, now)) {
            logReach(service, server, now);
        }
        return;
    }
    m_metrics.count("connects_failed_total");
    LogEvent("connect_failed")
            .field("backend", server.str())
            .field("service", service.str())
            .field("why", error.message())
            .field("took_ms", took);
    const bool isOwnLack = error == asio::error::no_descriptors || error == asio::error::no_memory;
    if (!isOwnLack && m_reach.connectFailed(service, server, known, now)) {
        logReach(service, server, now);
    }
}

void ReachMonitor::logReach(const ServiceId &service, const EngineId &server, TimePoint now) const
{
    LogEvent("service_reach", Severity::Warning)
            .field("service", service.str())
            .field("reach", toString(m_reach.reach(service, now)))
            .field("failed", m_reach.failed(service, now))
            .field("known", m_tracker.serversOf(service))
            .field("by", server.str());
}

} // namespace vanilladyke
