#pragma once

#include "vanilladyke/model/routing.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

/// Which backend servers may get requests, from the entries that they keep in the platform's store.
///
/// Load pattern: servers come, drain and crash all day, and the store that lists them is away for
/// seconds. An entry that is gone normally means that its server is leaving. Entries that lapsed
/// because servers could not write for a while mean nothing: taking them at their word would empty
/// the roster at the very moment at which the store returns. What tells the two apart is that a
/// lapse takes most entries at once: when most of them go within LapseWindow, soon after a failed
/// call to the store, all of these are kept for ReturnTime, in which servers that live write again.
/// A few that go are taken out at once, also after trouble, which may have been this node's alone.
/// A server that said that it drains never comes back.
namespace vanilladyke {

/// @brief The roster of one node. Pure.
class BackendRoster
{
public:
    /// The platform's word: entries are back within about two seconds of the store's return.
    static constexpr Duration ReturnTime = std::chrono::milliseconds(2200);
    /// Three heartbeats of silence remove an entry, so trouble may show that long after it ended.
    static constexpr Duration TroubleMemory = std::chrono::seconds(4);
    /// Entries that lapse together are read by two or three calls.
    static constexpr Duration LapseWindow = std::chrono::seconds(2);

    /// @brief Takes in an entry. One that is older than what is known changes nothing.
    /// @return whether anything but the heartbeat changed
    bool put(BackendEntry entry, TimePoint now);
    /// @brief The entry is gone from the store. @return whether the server is out at once
    bool remove(const EngineId &id, TimePoint now);
    /// @brief A call to the store failed or was late.
    void storeFailed(TimePoint now) { m_lastTrouble = now; }
    /// @brief Drops the entries whose time to come back is over. @return whether any was
    bool expire(TimePoint now);
    /// @brief Removes all that are not in @p present: the store's whole list was read.
    bool keepOnly(const std::map<EngineId, bool> &present, TimePoint now);

    /// @brief Servers that may get requests: known and not draining.
    [[nodiscard]] std::vector<BackendEntry> serving() const;
    /// @brief Whether the condition holds for any of them.
    template <typename Condition>
    [[nodiscard]] bool anyServing(Condition condition) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
            return !item.second.entry.isDraining && condition(item.second.entry);
        });
    }
    [[nodiscard]] const BackendEntry *find(const EngineId &id) const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Known
    {
        BackendEntry entry;
        std::optional<TimePoint> goneAt; ///< lapsed; out for good at this time
    };

    [[nodiscard]] bool isLapse(TimePoint now) const;
    void revive(TimePoint now);

    std::map<EngineId, Known> m_entries;
    std::map<EngineId, std::pair<BackendEntry, TimePoint>> m_removed; ///< within LapseWindow
    std::unordered_map<EngineId, std::uint64_t> m_lastHeartbeat; ///< also of those that are out
    TimePoint m_lastTrouble = TimePoint::min();
};

} // namespace vanilladyke
