#include "vanilladyke/policy/backend_roster.hpp"

#include <algorithm>
#include <tuple>

namespace vanilladyke {

bool BackendRoster::put(BackendEntry entry)
{
    const auto [seen, isFirst] = m_last.try_emplace(entry.id);
    LastRecord &last = seen->second;
    if (!isFirst && entry.position <= last.position) {
        return false;
    }
    // After a removal or in another era, the record may repeat what was written before; that of a
    // lower start may have been carried out late.
    const bool mayRepeat =
            !isFirst
            && (!m_entries.contains(entry.id) || entry.position.era != last.position.era
                || (entry.start < last.start && !entry.isDraining));
    const bool isNewer =
            std::tie(entry.start, entry.heartbeat) > std::tie(last.start, last.heartbeat);
    last.position = entry.position;
    last.start = entry.start;
    last.heartbeat = entry.heartbeat;
    if (entry.isDraining) {
        last.drained.insert(entry.start);
    }
    if (mayRepeat && !isNewer) {
        return false;
    }
    auto [place, isNew] = m_entries.try_emplace(entry.id);
    TrackedEntry &known = place->second;
    const BackendEntry &old = known.entry;
    entry.isDraining = last.drained.contains(entry.start);
    const auto statements = [](const BackendEntry &each) {
        return std::tie(each.start, each.isDraining, each.endpoint, each.service, each.weights,
                        each.slots, each.software, each.dataCentre);
    };
    const bool changed = isNew || known.dropAt || statements(old) != statements(entry);
    known.entry = std::move(entry);
    known.dropAt.reset();
    return changed;
}

bool BackendRoster::remove(const EngineId &id, StorePosition position, TimePoint now)
{
    const auto last = m_last.find(id);
    if (last == m_last.end() || position <= last->second.position) {
        return false;
    }
    last->second.position = position;
    return removeEntry(id, now);
}

bool BackendRoster::removeEntry(const EngineId &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    if (!found->second.entry.isDraining) {
        m_removed[id] = {found->second.entry, now};
    }
    m_entries.erase(found);
    std::erase_if(m_removed,
                  [now](const auto &item) { return now - item.second.second >= LapseWindow; });
    if (isLapse(now)) {
        restoreLapsed(now);
    }
    return true;
}

bool BackendRoster::isLapse(TimePoint now) const
{
    const bool storeFailedRecently =
            m_lastStoreFailure != TimePoint::min() && now - m_lastStoreFailure < StoreFailureWindow;
    constexpr std::size_t MinLapsed = 2;
    const std::size_t lapsed = m_removed.size();
    return storeFailedRecently && lapsed >= MinLapsed && 2 * lapsed > m_entries.size() + lapsed;
}

void BackendRoster::restoreLapsed(TimePoint now)
{
    for (auto &[id, removed] : m_removed) {
        m_entries[id] = {removed.first, now + RewriteGrace};
    }
    m_removed.clear();
}

bool BackendRoster::expire(TimePoint now)
{
    return std::erase_if(m_entries,
                         [now](const auto &item) {
                             return item.second.dropAt && now >= *item.second.dropAt;
                         })
           > 0;
}

bool BackendRoster::keepOnly(const std::map<EngineId, bool> &present, bool mayLackEntries,
                             TimePoint now)
{
    std::vector<EngineId> missing;
    for (auto &[id, known] : m_entries) {
        if (present.contains(id)) {
            continue;
        }
        if (mayLackEntries) {
            known.dropAt = known.dropAt.value_or(now + RewriteGrace);
        } else {
            missing.push_back(id);
        }
    }
    bool changed = false;
    for (const EngineId &id : missing) {
        changed = removeEntry(id, now) || changed;
    }
    return changed;
}

std::vector<BackendEntry> BackendRoster::serving() const
{
    std::vector<BackendEntry> result;
    for (const auto &[id, known] : m_entries) {
        if (!known.entry.isDraining) {
            result.push_back(known.entry);
        }
    }
    return result;
}

bool BackendRoster::isUnsettled(const EngineId &id) const
{
    const auto last = m_last.find(id);
    const BackendEntry *entry = find(id);
    return last != m_last.end() && (entry == nullptr || entry->start != last->second.start);
}

const BackendEntry *BackendRoster::find(const EngineId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

} // namespace vanilladyke
