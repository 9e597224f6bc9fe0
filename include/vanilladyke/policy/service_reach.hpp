#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Decides whether this node still reaches the servers of a service over its own links.
///
/// Load pattern: a node is partitioned from all servers, while callers, the platform's store and
/// the other nodes still reach it. Attempts to connect hang, are refused or are reset; connections
/// that are open may live on. Judged one by one, each server looks ill for a moment and is tried
/// again, and every request waits for one server after the other until its caller has left.
///
/// The belief rests on attempts to connect. A silent server proves nothing: a sound one may be
/// silent for a second, and one with a queue for longer.
namespace vanilladyke {

/// @brief How much of a service this node reaches over its own links.
enum class Reach {
    All,  ///< no reason to doubt it
    Few,  ///< attempts to connect to half of the servers or more fail
    None, ///< attempts to connect fail at every server, or at enough of them
};

[[nodiscard]] std::string_view toString(Reach reach);

/// @brief Results of this node's attempts to connect to the servers of all services. Pure.
class ServiceReach
{
public:
    /// So many servers that fail in a row, without a success in between, stand for all.
    static constexpr std::size_t EnoughServers = 4;
    /// A single failed attempt may be a server's own end.
    static constexpr std::size_t MinFailures = 2;
    /// Servers that have to accept a connection again before the service is believed to be reached.
    static constexpr std::size_t ServersToReturn = 2;
    /// A failure counts for so long. Covers several rounds of checks.
    static constexpr Duration FailureLifetime = std::chrono::seconds(3);

    /// @brief Records that a connection was established. @return whether the belief changed
    /// @param known number of servers that the service has
    bool connected(const ServiceId &service, const EngineId &server, std::size_t known,
                   TimePoint now);
    /// @brief Records that a connection was refused or reset, or was not established in time.
    /// @return whether the belief changed
    bool connectFailed(const ServiceId &service, const EngineId &server, std::size_t known,
                       TimePoint now);

    [[nodiscard]] Reach reach(const ServiceId &service, TimePoint now) const;
    /// @brief Whether more attempts are needed to confirm or to end a doubt.
    [[nodiscard]] bool isDoubtful(const ServiceId &service, TimePoint now) const;
    /// @brief When an attempt to connect to the server last failed; none if none did lately.
    [[nodiscard]] bool hasFailed(const ServiceId &service, const EngineId &server,
                                 TimePoint now) const;
    /// @brief Services of which no server is reached.
    [[nodiscard]] std::vector<ServiceId> unreached() const;
    /// @brief Number of servers to which an attempt failed lately.
    [[nodiscard]] std::size_t failed(const ServiceId &service, TimePoint now) const;

private:
    struct State
    {
        std::unordered_map<EngineId, TimePoint> failedAt; ///< by server whose last attempt failed
        std::unordered_set<EngineId> streak; ///< failed since the last success at any server
        std::size_t streakFailures = 0;
        std::size_t known = 0; ///< servers of the service at the last attempt
        bool isUnreached = false;
        std::unordered_set<EngineId> returned; ///< accepted a connection since it was unreached
    };

    static void expire(State &state, TimePoint now);

    std::unordered_map<ServiceId, State> m_services;
};

} // namespace vanilladyke
