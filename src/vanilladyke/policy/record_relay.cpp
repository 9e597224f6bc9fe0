#include "vanilladyke/policy/record_relay.hpp"

#include <algorithm>

namespace vanilladyke {

void RecordRelay::restart(std::uint64_t next, std::uint64_t era)
{
    if (era != m_era) {
        m_provedFreshAt.reset();
    }
    m_era = era;
    m_changes.clear();
    m_first = next;
    m_next = next;
}

void RecordRelay::restartWithListing(std::uint64_t next, std::uint64_t era)
{
    restart(next, era);
    m_first = 0;
}

void RecordRelay::addChange(std::uint64_t offset, std::string record, const std::string &key)
{
    // Only the newest record of a key is kept, so that several changes of a key in quick succession
    // still fit into a datagram.
    std::erase_if(m_changes, [&](const Change &each) { return !key.empty() && each.key == key; });
    const auto place = std::upper_bound(
            m_changes.begin(), m_changes.end(), offset,
            [](std::uint64_t at, const Change &change) { return at < change.offset; });
    m_changes.insert(place, {offset, std::move(record), key});
    if (m_changes.size() > MaxChanges) {
        m_first = m_changes.front().offset + 1;
        m_changes.pop_front();
    }
}

void RecordRelay::addFreshnessProof(TimePoint at)
{
    m_provedFreshAt = m_provedFreshAt ? std::max(*m_provedFreshAt, at) : at;
}

std::optional<RecordRelay::Updates>
RecordRelay::changesSince(std::uint64_t offset, std::size_t maxBytes, TimePoint now) const
{
    if (!m_provedFreshAt || offset < m_first) {
        return std::nullopt;
    }
    Updates updates;
    updates.era = m_era;
    updates.next = std::max(offset, m_next);
    updates.age = now - *m_provedFreshAt;
    const auto begin = std::lower_bound(
            m_changes.begin(), m_changes.end(), offset,
            [](const Change &change, std::uint64_t from) { return change.offset < from; });
    std::size_t bytes = 0;
    for (auto each = begin; each != m_changes.end(); ++each) {
        bytes += each->record.size();
        if (bytes > maxBytes) {
            return std::nullopt;
        }
        updates.changes.push_back(*each);
    }
    return updates;
}

} // namespace vanilladyke
