#pragma once

#include "vanilladyke/model/routing.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// Which software versions the servers of a service had lately.
///
/// Load pattern: most of the time all servers of a service have one version. Then nothing needs to
/// be told of its streams, and a stream of unknown origin can go on, as it can only have begun on
/// that version. This holds only once the version has been alone for as long as a caller may come
/// back. No process may have run for so long: all may have been killed at once. The versions of
/// each service are therefore recorded in the platform's store, and a version is taken out of the
/// record only by a node that has watched the list for long enough without it.
namespace vanilladyke {

/// @brief What is recorded of a service.
struct RecordedSoftware
{
    /// Versions that may have begun streams which callers may still take up: softwareKey() of each.
    std::set<std::uint64_t> versions;
    /// The longest time that a caller was seen to have after the first event of its stream.
    Duration callersTime{};

    bool operator==(const RecordedSoftware &) const = default;
};

/// @brief The records of all services, as read from the store or to be written to it.
struct SoftwareRecords
{
    std::map<ServiceId, RecordedSoftware> services;
    std::uint64_t reading = 0; ///< number of the reading that they are, or that they follow
};

/// @brief What a node knows of a service's software versions, for the logs.
struct SoftwareView
{
    std::size_t listed = 0;   ///< versions of the servers that are listed now
    std::size_t possible = 0; ///< versions that may have begun streams which callers may take up
    Duration watched{};       ///< for which this process has watched the list
    Duration needed{};        ///< for which a version has to be alone to be the only one
    bool isRecorded = false;  ///< the service's versions were read from the store
};

/// @brief The software versions that one node has seen in the list of servers. Pure.
class SoftwareHistory
{
public:
    /// A server that has left the list may begin requests of nodes which learn of that later.
    static constexpr Duration ListingMargin = std::chrono::seconds(3);

    /// @param isFirstStart the fleet starts for the first time: no stream began before
    explicit SoftwareHistory(bool isFirstStart = false)
        : m_isFirstStart(isFirstStart)
    {}

    /// @brief Replaces the list of servers. @return whether a service that had one version lately
    /// has several now
    bool setServers(const std::vector<BackendEntry> &serving, TimePoint now);
    /// @brief Records a version of an entry that was read, though the next list may lack it: a
    /// server that came and left since the last list has begun streams, too.
    void versionRead(const ServiceId &service, std::uint64_t software, TimePoint now);
    /// @brief The list was read as a whole once more: versions that came and left since the last
    /// list are known from records only, which have to be read after it.
    void watchInterrupted(TimePoint now);
    /// @brief Since when the list has been watched without a gap; none: it was never read.
    [[nodiscard]] std::optional<TimePoint> watchedSince() const { return m_watchedSince; }
    /// @brief Records how long after a stream's first event its caller may come back.
    void observeLifetime(const ServiceId &service, Duration lifetime);
    /// @brief Replaces what is recorded. To be called after the first whole list of servers.
    void setRecords(SoftwareRecords records);
    /// @brief What has to be written: the services whose record lacks a version, holds one that
    /// began no stream which a caller may still take up, or a shorter time of callers.
    [[nodiscard]] SoftwareRecords dueRecords(TimePoint now) const;
    /// @brief The version on which every stream of the service began that a caller may still take
    /// up, as of the time at which the list was read. @return softwareKey() of it; none if there
    /// may be several
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
        Duration lifetime{};
    };

    [[nodiscard]] const Service *find(const ServiceId &service) const;
    [[nodiscard]] const RecordedSoftware *findRecord(const ServiceId &service) const;
    /// For how long a version has to be alone to be the only one.
    [[nodiscard]] Duration neededTime(const ServiceId &id, const Service &service) const;
    /// Whether no version is missing from possibleVersions().
    [[nodiscard]] bool isWhole(const ServiceId &id, const Service &service, TimePoint now) const;
    /// The versions seen or recorded that may have begun streams which callers may take up.
    [[nodiscard]] std::set<std::uint64_t>
    possibleVersions(const ServiceId &id, const Service &service, TimePoint now) const;

    bool m_isFirstStart;
    std::map<ServiceId, Service> m_services;
    std::optional<SoftwareRecords> m_records;
    std::optional<TimePoint> m_watchedSince; ///< the first list of servers, or that after a gap
    TimePoint m_listedAt; ///< of the current list; versions with this time are listed now
};

} // namespace vanilladyke
