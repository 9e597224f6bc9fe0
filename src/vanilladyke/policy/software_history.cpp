#include "vanilladyke/policy/software_history.hpp"

#include "vanilladyke/policy/stream_origins.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Until any caller's deadline is seen.
constexpr Duration MinLifetime = std::chrono::seconds(5);

} // namespace

bool SoftwareHistory::setServers(const std::vector<BackendEntry> &serving, TimePoint now)
{
    // Versions that were listed until now were so up to this moment.
    for (auto &[id, service] : m_services) {
        for (auto &[software, at] : service.lastListed) {
            at = at == m_listedAt ? now : at;
        }
        const Duration kept = std::max(service.lifetime, MinLifetime) + 2 * ListingMargin;
        std::erase_if(service.lastListed,
                      [&](const auto &item) { return now - item.second > kept; });
    }
    // Later than what has just ended, so that the two differ.
    m_listedAt = now + Duration(1);
    bool hasSecond = false;
    for (const BackendEntry &entry : serving) {
        const auto [place, isNew] = m_services.try_emplace(entry.service);
        Service &service = place->second;
        if (isNew) {
            service.since = now;
        }
        const std::size_t before = service.lastListed.size();
        service.lastListed[softwareKey(entry.software)] = m_listedAt;
        hasSecond = hasSecond || (before == 1 && service.lastListed.size() == 2);
    }
    return hasSecond;
}

void SoftwareHistory::observeLifetime(const ServiceId &service, Duration lifetime)
{
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        known->second.lifetime =
                std::max(known->second.lifetime, std::min(lifetime, StreamOrigins::MaxLifetime));
    }
}

const SoftwareHistory::Service *SoftwareHistory::find(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second;
}

std::optional<std::uint64_t> SoftwareHistory::onlyVersion(const ServiceId &service,
                                                          TimePoint now) const
{
    const Service *const known = find(service);
    if (known == nullptr) {
        return std::nullopt;
    }
    const Duration needed = std::max(known->lifetime, MinLifetime) + ListingMargin;
    if (now - known->since < needed) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> only;
    for (const auto &[software, at] : known->lastListed) {
        const bool mayHaveBegunStreams = at == m_listedAt || now - at < needed;
        if (mayHaveBegunStreams && only) {
            return std::nullopt;
        }
        only = mayHaveBegunStreams ? std::optional(software) : only;
    }
    return only;
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
    view.watched = now - known->since;
    view.needed = std::max(known->lifetime, MinLifetime) + ListingMargin;
    for (const auto &[software, at] : known->lastListed) {
        const bool isListed = at == m_listedAt;
        view.listed += isListed ? 1 : 0;
        view.possible += isListed || now - at < view.needed ? 1 : 0;
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
