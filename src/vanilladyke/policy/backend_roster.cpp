#include "vanilladyke/policy/backend_roster.hpp"

#include <algorithm>

namespace vanilladyke {

bool BackendRoster::put(BackendEntry entry, TimePoint now)
{
    std::uint64_t &last = m_lastHeartbeat[entry.id];
    if (entry.heartbeat < last) {
        return false;
    }
    last = entry.heartbeat;
    static_cast<void>(now);
    auto [place, isNew] = m_entries.try_emplace(entry.id);
    TrackedEntry &known = place->second;
    const BackendEntry &old = known.entry;
    // A draining server does not return under the same id.
    entry.isDraining = entry.isDraining || (!isNew && old.isDraining);
    const bool changed = isNew || known.dropAt || old.isDraining != entry.isDraining
                         || old.endpoint != entry.endpoint || old.service != entry.service
                         || old.weights != entry.weights || old.slots != entry.slots;
    known.entry = std::move(entry);
    known.dropAt.reset();
    return changed;
}

bool BackendRoster::remove(const EngineId &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    std::uint64_t &last = m_lastHeartbeat[id];
    last += last > 0 ? 1 : 0; // an entry that returns has to be newer
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
        changed = remove(id, now) || changed;
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

const BackendEntry *BackendRoster::find(const EngineId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

} // namespace vanilladyke
