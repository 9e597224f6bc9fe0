#pragma once

#include "vanilladyke/model/routing.hpp"

#include <map>
#include <optional>
#include <vector>

/// Which software versions the servers of a service had lately.
///
/// Load pattern: most of the time all servers of a service have one version. Then nothing needs to
/// be told of its streams, and a stream of unknown origin can go on, as it can only have begun on
/// that version. This holds only once the version has been alone for as long as a caller may come
/// back, so that a node which has just started relies on what older nodes say.
namespace vanilladyke {

/// @brief What a node knows of a service's software versions, for the logs.
struct SoftwareView
{
    std::size_t listed = 0;   ///< versions of the servers that are listed now
    std::size_t possible = 0; ///< versions that may have begun streams which callers may take up
    Duration watched{};       ///< for which this process has watched the service
    Duration needed{};        ///< for which a version has to be alone to be the only one
};

/// @brief The software versions that one node has seen in the list of servers. Pure.
class SoftwareHistory
{
public:
    /// A server that has left the list may begin requests of nodes which learn of that later.
    static constexpr Duration ListingMargin = std::chrono::seconds(3);

    /// @brief Replaces the list of servers. @return whether a service that had one version lately
    /// has several now
    bool setServers(const std::vector<BackendEntry> &serving, TimePoint now);
    /// @brief Records how long after a stream's first event its caller may come back.
    void observeLifetime(const ServiceId &service, Duration lifetime);
    /// @brief The version on which every stream of the service began that a caller may still take
    /// up. @return softwareKey() of it; none if there may be several
    [[nodiscard]] std::optional<std::uint64_t> onlyVersion(const ServiceId &service,
                                                           TimePoint now) const;
    /// @brief Whether all servers that are listed now have this version.
    [[nodiscard]] bool isAlone(const ServiceId &service, std::uint64_t software) const;
    [[nodiscard]] SoftwareView view(const ServiceId &service, TimePoint now) const;
    /// @brief Whether a server of this version is listed now.
    [[nodiscard]] bool isListed(const ServiceId &service, std::uint64_t software) const;

private:
    struct Service
    {
        std::map<std::uint64_t, TimePoint> lastListed; ///< by version
        TimePoint since;                               ///< first seen by this node
        Duration lifetime{};
    };

    [[nodiscard]] const Service *find(const ServiceId &service) const;

    std::map<ServiceId, Service> m_services;
    TimePoint m_listedAt; ///< of the current list; versions with this time are listed now
};

} // namespace vanilladyke
