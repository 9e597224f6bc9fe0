#pragma once

#include "vanilladyke/model/routing.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

/// Tracks which backend servers may get requests, from the entries that they keep in the platform's
/// store.
///
/// Load pattern: servers come, drain and crash all day, and the store that lists them is
/// unavailable for seconds. Normally a removed entry means that its server is leaving. Entries that
/// lapsed because servers could not write for a while mean nothing; removing them would empty the
/// roster at the very moment at which the store returns. The two cases differ in that a lapse
/// affects most entries at once: if most of them are removed within LapseWindow, soon after a
/// failed call to the store, all of these are kept for RewriteGrace, in which running servers write
/// again. A few removed entries take effect at once, also after a store failure, which may have
/// affected this node alone. A start of a server that reported that it drains never returns, nor
/// does one that was removed with an entry that is no newer: a store that came back from an older
/// copy lists it.
///
/// Which of two entries of a server is newer, the order of the store's records tells: the server's
/// own count begins anew when it starts again, and entries of other writers hold any number. The
/// count only tells whether what follows a removal or a change of the store's era is a new
/// statement.
///
/// The store may carry out an entry seconds after it was sent, when the server has started again
/// and drains. An entry of a lower start that says ready therefore counts with the second one in a
/// row: a late one comes alone, and a server whose clock was set back writes on.
namespace vanilladyke {

/// @brief The roster of one node. Pure.
class BackendRoster
{
public:
    /// Guaranteed by the platform: entries are written again within about two seconds of the
    /// store's return.
    static constexpr Duration RewriteGrace = std::chrono::milliseconds(2200);
    /// An entry is removed after three missed heartbeats, so a failure may take effect this long
    /// after it ended.
    static constexpr Duration StoreFailureWindow = std::chrono::seconds(4);
    /// Entries that lapse together are read by two or three successive calls.
    static constexpr Duration LapseWindow = std::chrono::seconds(2);

    /// @brief Adds or updates an entry. One that is older than the recorded one is ignored.
    /// @return whether anything but the heartbeat changed
    bool put(BackendEntry entry);
    /// @brief Removes an entry that is no longer in the store. @return whether an entry was removed
    /// @param position of the record that says so; one before the recorded entry's is ignored
    bool remove(const EngineId &id, StorePosition position, TimePoint now);
    /// @brief Records that a call to the store failed or timed out.
    void storeFailed(TimePoint now) { m_lastStoreFailure = now; }
    /// @brief Drops lapsed entries that were not written again in time. @return whether there were
    /// any
    bool expire(TimePoint now);
    /// @brief Removes all entries that are not in @p present, the complete list in the store.
    /// @param mayLackEntries the store came back from an older copy: what is missing is kept for
    /// RewriteGrace
    bool keepOnly(const std::map<EngineId, bool> &present, bool mayLackEntries, TimePoint now);

    /// @brief Servers that may get requests: listed and not draining.
    [[nodiscard]] std::vector<BackendEntry> serving() const;
    /// @brief Whether the condition holds for any serving server.
    template <typename Condition>
    [[nodiscard]] bool anyServing(Condition condition) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
            return !item.second.entry.isDraining && condition(item.second.entry);
        });
    }
    [[nodiscard]] const BackendEntry *find(const EngineId &id) const;
    /// @brief Whether the last entry of the server is of another start than the one that counts, or
    /// none counts: the next one may then count without a change of its own.
    [[nodiscard]] bool isUnsettled(const EngineId &id) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct TrackedEntry
    {
        BackendEntry entry;
        std::optional<TimePoint> dropAt; ///< set if the entry lapsed: when it is dropped
    };

    /// The last that the store's records say of a server, which may have been removed since.
    struct LastRecord
    {
        StorePosition position;
        std::uint64_t start = 0;
        std::uint64_t heartbeat = 0;
        std::set<std::uint64_t> drained; ///< starts that reported that they drain
    };

    bool removeEntry(const EngineId &id, TimePoint now);
    [[nodiscard]] bool isLapse(TimePoint now) const;
    void restoreLapsed(TimePoint now);

    std::map<EngineId, TrackedEntry> m_entries;
    std::map<EngineId, std::pair<BackendEntry, TimePoint>> m_removed; ///< within LapseWindow
    std::unordered_map<EngineId, LastRecord> m_last;                  ///< also of removed servers
    TimePoint m_lastStoreFailure = TimePoint::min();
};

} // namespace vanilladyke
