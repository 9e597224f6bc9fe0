#include "vanilladyke/policy/weights_announcements.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// The lower bound is wrong if the store omitted the record from an answer. The time at which some
/// node already had the weights then corrects it.
TimePoint earliestBound(const WeightsAnnouncement &announcement)
{
    return std::min(announcement.announcedAfter, announcement.firstReceivedAt);
}

} // namespace

WeightsAnnouncements::Entries::iterator WeightsAnnouncements::lowerBound(std::uint64_t version)
{
    return std::lower_bound(m_entries.begin(), m_entries.end(), version,
                            [](const Entry &entry, std::uint64_t target) {
                                return entry.announcement.version < target;
                            });
}

bool WeightsAnnouncements::add(const WeightsAnnouncement &announcement, AnnouncementSource source,
                               TimePoint now, Duration allowed)
{
    const auto place = lowerBound(announcement.version);
    if (place != m_entries.end() && place->announcement.version == announcement.version) {
        return improve(&*place, announcement, source);
    }
    m_entries.insert(place, Entry{announcement, source});
    removeObsolete(now, allowed);
    const auto kept = lowerBound(announcement.version);
    return kept != m_entries.end() && kept->announcement.version == announcement.version;
}

bool WeightsAnnouncements::improve(Entry *entry, const WeightsAnnouncement &announcement,
                                   AnnouncementSource source)
{
    const WeightsAnnouncement before = entry->announcement;
    if (entry->source == AnnouncementSource::Estimated && source != AnnouncementSource::Estimated) {
        *entry = Entry{announcement, source};
        return entry->announcement != before;
    }
    if (source == AnnouncementSource::Estimated) {
        return false;
    }
    if (source == entry->source) {
        entry->announcement.announcedAfter =
                std::min(entry->announcement.announcedAfter, announcement.announcedAfter);
    } else if (source == AnnouncementSource::Read) {
        entry->announcement.announcedAfter = announcement.announcedAfter;
        entry->source = source;
    }
    entry->announcement.firstReceivedAt =
            std::min(entry->announcement.firstReceivedAt, announcement.firstReceivedAt);
    return entry->announcement != before;
}

void WeightsAnnouncements::removeObsolete(TimePoint now, Duration allowed)
{
    while (m_entries.size() > 1 && now - earliestBound(m_entries[1].announcement) > allowed) {
        m_entries.erase(m_entries.begin());
    }
}

std::optional<TimePoint> WeightsAnnouncements::deadlineOf(std::uint64_t version,
                                                          Duration allowed) const
{
    std::optional<TimePoint> end;
    for (const Entry &entry : m_entries) {
        const TimePoint deadline = earliestBound(entry.announcement) + allowed;
        if (version < entry.announcement.version && (!end || deadline < *end)) {
            end = deadline;
        }
    }
    return end;
}

bool WeightsAnnouncements::isSuperseded(std::uint64_t version, TimePoint time) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return version < entry.announcement.version && entry.announcement.firstReceivedAt < time;
    });
}

std::uint64_t WeightsAnnouncements::newest() const
{
    return m_entries.empty() ? 0 : m_entries.back().announcement.version;
}

std::vector<WeightsAnnouncement> WeightsAnnouncements::reportable() const
{
    std::vector<WeightsAnnouncement> result;
    for (const Entry &entry : m_entries) {
        if (entry.source != AnnouncementSource::Estimated) {
            result.push_back({entry.announcement.version, earliestBound(entry.announcement),
                              entry.announcement.firstReceivedAt});
        }
    }
    return result;
}

} // namespace vanilladyke
