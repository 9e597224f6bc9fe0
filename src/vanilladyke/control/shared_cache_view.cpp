#include "vanilladyke/control/shared_cache_view.hpp"

#include <mutex>

namespace vanilladyke {

SharedCacheView::SharedCacheView(std::size_t bytes)
{
    for (Shard &shard : m_shards) {
        shard.view = CacheView(bytes / Shards);
    }
}

void SharedCacheView::setIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now)
{
    for (Shard &shard : m_shards) {
        const std::unique_lock lock(shard.mutex);
        shard.view.setIncarnation(engine, incarnation, now);
    }
}

void SharedCacheView::distrust(EngineKey engine, TimePoint now)
{
    for (Shard &shard : m_shards) {
        const std::unique_lock lock(shard.mutex);
        shard.view.markUntrusted(engine, now);
    }
}

void SharedCacheView::stored(EngineKey engine, Incarnation incarnation, const ChainHash &hash,
                             TimePoint now)
{
    Shard &shard = shardOf(hash);
    const std::unique_lock lock(shard.mutex);
    shard.view.stored(engine, incarnation, hash, now);
}

void SharedCacheView::evicted(EngineKey engine, Incarnation incarnation, const ChainHash &hash)
{
    Shard &shard = shardOf(hash);
    const std::unique_lock lock(shard.mutex);
    shard.view.evicted(engine, incarnation, hash);
}

std::vector<PrefixHolder> SharedCacheView::holders(const PrefixChain &chain, TimePoint now) const
{
    std::vector<PrefixHolder> holders;
    holders.reserve(CacheView::MostHolders);
    for (std::size_t i = chain.size(); i-- > 0;) {
        const Shard &shard = shardOf(chain[i].hash);
        const std::shared_lock lock(shard.mutex);
        shard.view.addHolders(chain[i], now, holders);
    }
    return holders;
}

CacheEntryPage SharedCacheView::entries(std::size_t from, std::size_t most, TimePoint now) const
{
    // A position encodes the shard and the position inside the shard in one number.
    std::size_t shardIndex = from % Shards;
    std::size_t place = from / Shards;
    while (shardIndex < Shards) {
        const Shard &shard = m_shards.at(shardIndex);
        const std::shared_lock lock(shard.mutex);
        CacheEntryPage piece = shard.view.entries(place, most, now);
        if (piece.next != 0) {
            piece.next = piece.next * Shards + shardIndex;
            return piece;
        }
        ++shardIndex;
        place = 0;
        if (!piece.entries.empty() && shardIndex < Shards) {
            piece.next = shardIndex;
            return piece;
        }
        if (!piece.entries.empty()) {
            return piece;
        }
    }
    return {};
}

} // namespace vanilladyke
