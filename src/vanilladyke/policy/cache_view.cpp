#include "vanilladyke/policy/cache_view.hpp"

#include <algorithm>
#include <bit>
#include <span>

namespace vanilladyke {

void PrefixHolder::add(const CachedLength &shorter)
{
    const CachedLength &last = lengths[lengthCount - 1];
    const bool fresher = shorter.age <= last.age / 2 || (shorter.trusted && !last.trusted);
    if (fresher && lengthCount < MostLengths) {
        lengths[lengthCount++] = shorter;
    }
}

CacheView::CacheView(std::size_t bytes)
{
    const std::size_t sets = std::max<std::size_t>(bytes / (EntryBytes * Ways), 1);
    const std::size_t floor = std::bit_floor(sets);
    m_entries.resize(floor * Ways);
    m_mask = floor - 1;
}

void CacheView::setIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now)
{
    const auto [found, added] =
            m_index.try_emplace(engine, static_cast<std::uint32_t>(m_engines.size()));
    if (added) {
        m_engines.push_back({engine, incarnation, 1, now, true});
        return;
    }
    TrackedEngine &known = m_engines[found->second];
    if (known.present && known.incarnation == incarnation) {
        return;
    }
    ++known.generation;
    known.incarnation = incarnation;
    known.trustedSince = now;
    known.present = true;
}

void CacheView::removeEngine(EngineKey engine)
{
    const auto found = m_index.find(engine);
    if (found != m_index.end()) {
        TrackedEngine &known = m_engines[found->second];
        ++known.generation;
        known.present = false;
    }
}

void CacheView::markUntrusted(EngineKey engine, TimePoint now)
{
    const auto found = m_index.find(engine);
    if (found != m_index.end()) {
        m_engines[found->second].trustedSince = now;
    }
}

void CacheView::stored(EngineKey engine, Incarnation incarnation, const ChainHash &hash,
                       TimePoint now)
{
    const TrackedEngine *known = find(engine);
    if (known == nullptr || known->incarnation != incarnation) {
        return;
    }
    const auto slot = static_cast<std::uint32_t>(known - m_engines.data());
    Entry *entry = slotFor(hash, slot);
    // An entry from a peer may be older than the one that this node already has.
    const bool isHeld = entry->hash == hash && entry->engine == slot && isValid(*entry);
    if (isHeld && entry->updatedAt >= now) {
        return;
    }
    *entry = {hash, slot, known->generation, now};
}

void CacheView::evicted(EngineKey engine, Incarnation incarnation, const ChainHash &hash)
{
    const TrackedEngine *known = find(engine);
    if (known == nullptr || known->incarnation != incarnation) {
        return;
    }
    const auto slot = static_cast<std::uint32_t>(known - m_engines.data());
    for (Entry &entry : std::span(setOf(hash), Ways)) {
        if (entry.hash == hash && entry.engine == slot) {
            entry.generation = 0;
        }
    }
}

void CacheView::addHolders(const PrefixCut &cut, TimePoint now,
                           std::vector<PrefixHolder> &holders) const
{
    for (const Entry &entry : std::span(setOf(cut.hash), Ways)) {
        if (entry.hash != cut.hash || !isValid(entry)) {
            continue;
        }
        const TrackedEngine &engine = m_engines[entry.engine];
        const CachedLength length{cut.tokens, now - entry.updatedAt,
                                  entry.updatedAt >= engine.trustedSince};
        const auto found =
                std::find_if(holders.begin(), holders.end(), [&](const PrefixHolder &holder) {
                    return holder.engine == engine.key;
                });
        if (found != holders.end()) {
            found->add(length);
        } else if (holders.size() < MostHolders) {
            holders.push_back({engine.key, engine.incarnation, {length}, 1});
        }
    }
}

std::vector<PrefixHolder> CacheView::holders(const PrefixChain &chain, TimePoint now) const
{
    std::vector<PrefixHolder> holders;
    holders.reserve(MostHolders);
    for (std::size_t i = chain.size(); i-- > 0;) {
        addHolders(chain[i], now, holders);
    }
    return holders;
}

CacheEntryPage CacheView::entries(std::size_t from, std::size_t most, TimePoint now) const
{
    CacheEntryPage piece;
    for (std::size_t i = from; i < m_entries.size(); ++i) {
        const Entry &entry = m_entries[i];
        if (!isValid(entry)) {
            continue;
        }
        if (piece.entries.size() == most) {
            piece.next = i;
            break;
        }
        const TrackedEngine &engine = m_engines[entry.engine];
        piece.entries.push_back(
                {engine.key, engine.incarnation, entry.hash, now - entry.updatedAt});
    }
    return piece;
}

CacheView::Entry *CacheView::setOf(const ChainHash &hash)
{
    return &m_entries[(hash.low & m_mask) * Ways];
}

const CacheView::Entry *CacheView::setOf(const ChainHash &hash) const
{
    return &m_entries[(hash.low & m_mask) * Ways];
}

bool CacheView::isValid(const Entry &entry) const
{
    return entry.generation != 0 && m_engines[entry.engine].present
           && m_engines[entry.engine].generation == entry.generation;
}

const CacheView::TrackedEngine *CacheView::find(EngineKey engine) const
{
    const auto found = m_index.find(engine);
    const bool present = found != m_index.end() && m_engines[found->second].present;
    return present ? &m_engines[found->second] : nullptr;
}

/// Selects the engine's existing entry of this prefix, else an invalid entry, else the oldest.
CacheView::Entry *CacheView::slotFor(const ChainHash &hash, std::uint32_t engine)
{
    Entry *best = nullptr;
    bool bestIsValid = true;
    for (Entry &entry : std::span(setOf(hash), Ways)) {
        if (entry.hash == hash && entry.engine == engine) {
            return &entry;
        }
        const bool valid = isValid(entry);
        const bool better = best == nullptr || (bestIsValid && !valid)
                            || (bestIsValid == valid && entry.updatedAt < best->updatedAt);
        if (better) {
            best = &entry;
            bestIsValid = valid;
        }
    }
    return best;
}

} // namespace vanilladyke
