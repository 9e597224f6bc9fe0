#include "vanilladyke/policy/store_era.hpp"

#include <algorithm>

namespace vanilladyke {

void StoreEra::begin(std::uint64_t era, TimePoint since)
{
    m_view = {era, since};
    onChanged(m_view);
}

bool StoreEra::observed(std::uint64_t era, TimePoint now)
{
    if (era > m_view.era) {
        begin(era, now);
    }
    return era == m_view.era;
}

void StoreEra::told(std::uint64_t era, Duration knownFor, TimePoint now)
{
    const TimePoint since = now - std::max<Duration>(knownFor, Duration::zero());
    if (era > m_view.era) {
        begin(era, since);
    } else if (era == m_view.era && era > 0) {
        m_view.since = std::min(m_view.since, since);
    }
}

} // namespace vanilladyke
