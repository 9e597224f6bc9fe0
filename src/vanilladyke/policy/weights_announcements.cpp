#include "vanilladyke/policy/weights_announcements.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// The lower bound is wrong if the store omitted the record from an answer. The time at which some
/// node already had the weights then corrects it.
TimePoint earliestBound(const WeightsAnnouncement &date)
{
    return std::min(date.announcedAfter, date.firstReceivedAt);
}

} // namespace

WeightsAnnouncements::Entries::iterator WeightsAnnouncements::lowerBound(std::uint64_t version)
{
    return std::lower_bound(
            m_entries.begin(), m_entries.end(), version,
            [](const Entry &entry, std::uint64_t wanted) { return entry.date.version < wanted; });
}

bool WeightsAnnouncements::add(const WeightsAnnouncement &date, AnnouncementSource source,
                               TimePoint now, Duration allowed)
{
    const auto place = lowerBound(date.version);
    if (place != m_entries.end() && place->date.version == date.version) {
        return improve(&*place, date, source);
    }
    m_entries.insert(place, Entry{date, source});
    removeObsolete(now, allowed);
    const auto kept = lowerBound(date.version);
    return kept != m_entries.end() && kept->date.version == date.version;
}

bool WeightsAnnouncements::improve(Entry *entry, const WeightsAnnouncement &date,
                                   AnnouncementSource source)
{
    const WeightsAnnouncement before = entry->date;
    if (entry->source == AnnouncementSource::Estimated && source != AnnouncementSource::Estimated) {
        *entry = Entry{date, source};
        return entry->date != before;
    }
    if (source == AnnouncementSource::Estimated) {
        return false;
    }
    if (source == entry->source) {
        entry->date.announcedAfter = std::min(entry->date.announcedAfter, date.announcedAfter);
    } else if (source == AnnouncementSource::Read) {
        entry->date.announcedAfter = date.announcedAfter;
        entry->source = source;
    }
    entry->date.firstReceivedAt = std::min(entry->date.firstReceivedAt, date.firstReceivedAt);
    return entry->date != before;
}

void WeightsAnnouncements::removeObsolete(TimePoint now, Duration allowed)
{
    while (m_entries.size() > 1 && now - earliestBound(m_entries[1].date) > allowed) {
        m_entries.erase(m_entries.begin());
    }
}

std::optional<TimePoint> WeightsAnnouncements::endOf(std::uint64_t version, Duration allowed) const
{
    std::optional<TimePoint> end;
    for (const Entry &entry : m_entries) {
        const TimePoint deadline = earliestBound(entry.date) + allowed;
        if (version < entry.date.version && (!end || deadline < *end)) {
            end = deadline;
        }
    }
    return end;
}

bool WeightsAnnouncements::isReplaced(std::uint64_t version, TimePoint time) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return version < entry.date.version && entry.date.firstReceivedAt < time;
    });
}

std::uint64_t WeightsAnnouncements::newest() const
{
    return m_entries.empty() ? 0 : m_entries.back().date.version;
}

std::vector<WeightsAnnouncement> WeightsAnnouncements::toTell() const
{
    std::vector<WeightsAnnouncement> result;
    for (const Entry &entry : m_entries) {
        if (entry.source != AnnouncementSource::Estimated) {
            result.push_back(
                    {entry.date.version, earliestBound(entry.date), entry.date.firstReceivedAt});
        }
    }
    return result;
}

} // namespace vanilladyke
