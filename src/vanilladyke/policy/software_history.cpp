#include "vanilladyke/policy/software_history.hpp"

#include "vanilladyke/policy/stream_origins.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// A caller that takes its stream up states a new deadline each time, and nothing bounds how often
/// it does. A shorter time than this joins the texts of two versions for callers that come back
/// late.
constexpr Duration MinLifetime = std::chrono::seconds(60);

/// Deadlines of callers differ a little. Recorded in these steps, they cause few writes.
constexpr auto CallersTimeStep = std::chrono::seconds(10);

Duration roundedUp(Duration callersTime)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(callersTime);
    return (seconds + CallersTimeStep - std::chrono::seconds(1)) / CallersTimeStep
           * CallersTimeStep;
}

} // namespace

bool SoftwareHistory::setServers(const std::vector<BackendEntry> &serving, TimePoint now)
{
    m_watchedSince = m_watchedSince.value_or(now);
    // Versions that were listed until now were so up to this moment.
    for (auto &[id, service] : m_services) {
        for (auto &[software, at] : service.lastListed) {
            at = at == m_listedAt ? now : at;
        }
        const Duration kept = neededTime(id, service) + ListingMargin;
        std::erase_if(service.lastListed,
                      [&](const auto &item) { return now - item.second > kept; });
    }
    // Later than what has just ended, so that the two differ.
    m_listedAt = now + Duration(1);
    bool hasSecond = false;
    for (const BackendEntry &entry : serving) {
        Service &service = m_services[entry.service];
        const std::size_t before = service.lastListed.size();
        service.lastListed[softwareKey(entry.software)] = m_listedAt;
        hasSecond = hasSecond || (before == 1 && service.lastListed.size() == 2);
    }
    return hasSecond;
}

void SoftwareHistory::versionRead(const ServiceId &service, std::uint64_t software, TimePoint now)
{
    TimePoint &listed = m_services[service].lastListed[software];
    listed = std::max(listed, now);
}

void SoftwareHistory::watchInterrupted(TimePoint now)
{
    m_watchedSince = now;
    m_records.reset();
    m_isFirstStart = false;
}

void SoftwareHistory::observeLifetime(const ServiceId &service, Duration lifetime)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        known->second.lifetime =
                std::max(known->second.lifetime, std::min(lifetime, StreamOrigins::MaxLifetime));
    }
}

void SoftwareHistory::setRecords(SoftwareRecords records)
{
    m_records = std::move(records);
}

SoftwareRecords SoftwareHistory::dueRecords(TimePoint now) const
{
    SoftwareRecords due;
    if (!m_records) {
        return due;
    }
    due.reading = m_records->reading;
    for (const auto &[id, service] : m_services) {
        if (!isWhole(id, service, now)) {
            continue;
        }
        const RecordedSoftware *const recorded = findRecord(id);
        RecordedSoftware wanted{possibleVersions(id, service, now), roundedUp(service.lifetime)};
        if (recorded != nullptr) {
            wanted.callersTime = std::max(wanted.callersTime, recorded->callersTime);
        }
        const bool isDue = recorded == nullptr || wanted != *recorded;
        if (isDue && !wanted.versions.empty()) {
            due.services.emplace(id, std::move(wanted));
        }
    }
    return due;
}

const SoftwareHistory::Service *SoftwareHistory::find(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second;
}

const RecordedSoftware *SoftwareHistory::findRecord(const ServiceId &service) const
{
    if (!m_records) {
        return nullptr;
    }
    const auto known = m_records->services.find(service);
    return known == m_records->services.end() ? nullptr : &known->second;
}

Duration SoftwareHistory::neededTime(const ServiceId &id, const Service &service) const
{
    const RecordedSoftware *const recorded = findRecord(id);
    const Duration callersTime = recorded == nullptr ? Duration::zero() : recorded->callersTime;
    return std::max({service.lifetime, callersTime, MinLifetime}) + ListingMargin;
}

bool SoftwareHistory::isWhole(const ServiceId &id, const Service &service, TimePoint now) const
{
    const bool isRecorded = findRecord(id) != nullptr || (m_records && m_isFirstStart);
    return isRecorded || (m_watchedSince && now - *m_watchedSince >= neededTime(id, service));
}

std::set<std::uint64_t>
SoftwareHistory::possibleVersions(const ServiceId &id, const Service &service, TimePoint now) const
{
    const Duration needed = neededTime(id, service);
    std::set<std::uint64_t> possible;
    for (const auto &[software, at] : service.lastListed) {
        if (at == m_listedAt || now - at < needed) {
            possible.insert(software);
        }
    }
    const RecordedSoftware *const recorded = findRecord(id);
    if (recorded == nullptr || !m_watchedSince || now - *m_watchedSince >= needed) {
        return possible;
    }
    possible.insert(recorded->versions.begin(), recorded->versions.end());
    return possible;
}

std::optional<std::uint64_t> SoftwareHistory::onlyVersion(const ServiceId &service,
                                                          TimePoint now) const
{
    const Service *const known = find(service);
    if (known == nullptr || !isWhole(service, *known, now)) {
        return std::nullopt;
    }
    const std::set<std::uint64_t> possible = possibleVersions(service, *known, now);
    return possible.size() == 1 ? std::optional(*possible.begin()) : std::nullopt;
}

bool SoftwareHistory::isAlone(const ServiceId &service, std::uint64_t software) const
{
    const Service *const known = find(service);
    return known != nullptr
           && std::all_of(known->lastListed.begin(), known->lastListed.end(),
                          [&](const auto &item) {
                              return item.second != m_listedAt || item.first == software;
                          });
}

SoftwareView SoftwareHistory::view(const ServiceId &service, TimePoint now) const
{
    const Service *const known = find(service);
    if (known == nullptr) {
        return {};
    }
    SoftwareView view;
    view.watched = now - m_watchedSince.value_or(now);
    view.needed = neededTime(service, *known);
    view.possible = possibleVersions(service, *known, now).size();
    view.isRecorded = findRecord(service) != nullptr;
    for (const auto &[software, at] : known->lastListed) {
        view.listed += at == m_listedAt ? 1 : 0;
    }
    return view;
}

bool SoftwareHistory::isListed(const ServiceId &service, std::uint64_t software) const
{
    const Service *const known = find(service);
    if (known == nullptr) {
        return false;
    }
    const auto version = known->lastListed.find(software);
    return version != known->lastListed.end() && version->second == m_listedAt;
}

} // namespace vanilladyke
