#include "vanilladyke/traffic/reach_monitor.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

ReachMonitor::ReachMonitor(asio::io_context &context, BackendPool &pool, BackendTracker &tracker,
                           Metrics &metrics)
    : m_context(context)
    , m_pool(pool)
    , m_tracker(tracker)
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
    const Reach before = m_reach.reach(service, now);
    bool hasChanged = false;
    if (!error) {
        m_services[service].succeededAt = now;
        m_tracker.reachable(server);
        hasChanged = m_reach.connected(service, server, known, now);
    } else {
        m_metrics.count("connects_failed_total");
        LogEvent("connect_failed")
                .field("backend", server.str())
                .field("service", service.str())
                .field("why", error.message())
                .field("took_ms", took);
        if (error == asio::error::no_descriptors || error == asio::error::no_memory) {
            return; // says nothing of the server
        }
        m_services[service].failedAt = now;
        m_servers[server].checkedAt = now;
        if (error == asio::error::timed_out) {
            m_tracker.unreachable(server, now + CheckInterval + BackendPool::ConnectTimeout);
        }
        hasChanged = m_reach.connectFailed(service, server, known, now);
    }
    if (!hasChanged) {
        return;
    }
    logReach(service, server, now);
    if (before == Reach::None || m_reach.reach(service, now) == Reach::None) {
        m_metrics.count("service_unreached_changes_total");
        onUnreachedChanged();
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

void ReachMonitor::recordAnswer(const EngineId &server, TimePoint now)
{
    const BackendEntry *entry = m_tracker.entryOf(server);
    if (entry == nullptr) {
        return;
    }
    m_servers[server].answeredAt = now;
    Service &service = m_services[entry->service];
    service.answeredAt = now;
    service.succeededAt = now;
}

bool ReachMonitor::hasRecentAnswer(const ServiceId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && now - found->second.answeredAt <= AnswersRecent;
}

void ReachMonitor::suspect(const EngineId &server, TimePoint sentAt, TimePoint now)
{
    const BackendEntry *entry = m_tracker.entryOf(server);
    if (entry == nullptr) {
        return;
    }
    const Server &known = m_servers[server];
    if (known.answeredAt < sentAt && now - known.checkedAt >= CheckInterval) {
        check(*entry, now);
    }
}

asio::awaitable<bool> ReachMonitor::reachesAnother(EngineId server, TimePoint since)
{
    std::vector<BackendEntry> others;
    for (const BackendEntry &each : m_tracker.entries()) {
        if (each.id == server) {
            continue;
        }
        const auto known = m_servers.find(each.id);
        if (known != m_servers.end() && known->second.answeredAt >= since) {
            co_return true;
        }
        others.push_back(each);
    }
    if (others.empty()) {
        co_return true;
    }
    constexpr std::size_t Attempts = 2;
    others.resize(std::min(others.size(), Attempts));
    for (const BackendEntry &each : others) {
        if (const auto connection = co_await m_pool.connect(each.id, each.endpoint)) {
            m_pool.putBack(connection, std::nullopt, MonotonicClock::now());
            co_return true;
        }
    }
    co_return false;
}

bool ReachMonitor::step(TimePoint now)
{
    if (now < m_nextStepAt) {
        return false;
    }
    m_nextStepAt = now + StepInterval;
    removeUnknown();
    for (const auto &[service, state] : m_services) {
        if (m_reach.failed(service, now) > 0 || m_reach.reach(service, now) == Reach::None) {
            checkService(service, now);
        }
    }
    return true;
}

void ReachMonitor::checkService(const ServiceId &service, TimePoint now)
{
    const Service &state = m_services[service];
    const bool isInDoubt =
            m_reach.reach(service, now) == Reach::None || state.succeededAt < state.failedAt;
    std::size_t checks = 0;
    for (const BackendEntry &server : m_tracker.entriesOf(service)) {
        const bool isDue = now - m_servers[server.id].checkedAt >= CheckInterval;
        if (isDue && (isInDoubt || m_reach.hasFailed(service, server.id, now))) {
            check(server, now);
            if (++checks == MaxChecksPerStep) {
                return;
            }
        }
    }
}

void ReachMonitor::check(const BackendEntry &server, TimePoint now)
{
    m_servers[server.id].checkedAt = now;
    m_metrics.count("reach_checks_total");
    asio::co_spawn(
            m_context,
            [&pool = m_pool, id = server.id,
             endpoint = server.endpoint]() -> asio::awaitable<void> {
                if (const auto connection = co_await pool.connect(id, endpoint)) {
                    pool.putBack(connection, std::nullopt, MonotonicClock::now());
                }
            },
            asio::detached);
}

void ReachMonitor::removeUnknown()
{
    std::erase_if(m_servers, [this](const auto &item) { return !m_tracker.contains(item.first); });
}

} // namespace vanilladyke
