#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/policy/backend_tracker.hpp"
#include "vanilladyke/policy/service_reach.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"

#include <unordered_map>

/// Observes which services this node reaches over its own links, and logs each change.
///
/// Requests are no good probe: each would wait for a connection that is not established. Servers
/// that gave no connection are therefore checked apart from requests, and others beside them until
/// it is clear whether only these servers or all of the service are out of reach.
namespace vanilladyke {

/// @brief Feeds the results of attempts to connect to ServiceReach, and makes attempts of its own
/// where they are needed. For use on the traffic thread only.
class ReachMonitor
{
public:
    /// Interval between two checks of one server. Longer than BackendPool::ConnectTimeout, so that
    /// checks of one server do not overlap.
    static constexpr Duration CheckInterval = std::chrono::milliseconds(600);
    /// Interval at which it is considered which servers to check.
    static constexpr Duration StepInterval = std::chrono::milliseconds(100);
    /// Most checks of one service that are started in one step.
    static constexpr std::size_t MaxChecksPerStep = 4;
    /// A service whose answers arrived within this time is reached over open connections.
    static constexpr Duration AnswersRecent = std::chrono::milliseconds(700);

    ReachMonitor(asio::io_context &context, BackendPool &pool, BackendTracker &tracker,
                 Metrics &metrics);
    ReachMonitor(const ReachMonitor &) = delete;
    ReachMonitor &operator=(const ReachMonitor &) = delete;

    /// @brief Starts the checks that are due. @return whether a step was due
    bool step(TimePoint now);
    /// @brief Records that an answer of the server arrived.
    void recordAnswer(const EngineId &server, TimePoint now);
    /// @brief Has the server checked if it has not answered since the request was sent.
    void suspect(const EngineId &server, TimePoint sentAt, TimePoint now);

    [[nodiscard]] Reach reach(const ServiceId &service, TimePoint now) const
    {
        return m_reach.reach(service, now);
    }
    /// @brief Whether answers of the service arrive, over connections that were open before.
    [[nodiscard]] bool hasRecentAnswer(const ServiceId &service, TimePoint now) const;
    /// @brief Whether this node reaches another server than this one: an answer or a connection
    /// since @p since, or else an attempt to connect. True if no other server is known.
    [[nodiscard]] asio::awaitable<bool> reachesAnother(EngineId server, TimePoint since);
    /// @brief Services of which this node reaches no server.
    [[nodiscard]] std::vector<ServiceId> unreached() const { return m_reach.unreached(); }
    std::function<void()> onUnreachedChanged = [] {}; ///< the list of unreached() changed

private:
    struct Server
    {
        TimePoint answeredAt;
        TimePoint checkedAt;
    };
    struct Service
    {
        TimePoint answeredAt;  ///< last answer of any of its servers
        TimePoint succeededAt; ///< last answer or connection
        TimePoint failedAt;    ///< last attempt to connect that failed
    };

    void recordConnect(const EngineId &server, const ErrorCode &error, Duration took);
    void logReach(const ServiceId &service, const EngineId &server, TimePoint now) const;
    void checkService(const ServiceId &service, TimePoint now);
    void check(const BackendEntry &server, TimePoint now);
    void removeUnknown();

    asio::io_context &m_context;
    BackendPool &m_pool;
    BackendTracker &m_tracker;
    Metrics &m_metrics;
    ServiceReach m_reach;
    std::unordered_map<EngineId, Server> m_servers;
    std::unordered_map<ServiceId, Service> m_services;
    TimePoint m_nextStepAt;
};

} // namespace vanilladyke
