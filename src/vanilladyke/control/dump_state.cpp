#include "vanilladyke/control/dump_state.hpp"

#include "vanilladyke/policy/state_dump.hpp"

namespace vanilladyke {

std::string dumpState(const FleetStore &store, const SharedCacheView &view)
{
    const TimePoint now = MonotonicClock::now();
    std::vector<CacheEntry> entries;
    std::size_t place = 0;
    do {
        CacheEntryPage piece = view.entries(place, MostDumpedEntries - entries.size(), now);
        entries.insert(entries.end(), piece.entries.begin(), piece.entries.end());
        place = piece.next;
    } while (place != 0 && entries.size() < MostDumpedEntries);
    return writeStateDump(*store.current(), entries, now);
}

} // namespace vanilladyke
