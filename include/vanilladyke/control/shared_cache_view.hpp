#pragma once

#include "vanilladyke/policy/cache_view.hpp"

#include <array>
#include <shared_mutex>

namespace vanilladyke {

/// @brief The node's cache view: written by the control thread, read by traffic threads.
///
/// It is too large to publish a copy for each change. Instead it is sharded by hash, with a lock
/// per shard, so that a look-up waits for at most one small write.
class SharedCacheView
{
public:
    /// @param bytes memory limit of all shards together
    explicit SharedCacheView(std::size_t bytes);

    void setIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now);
    void distrust(EngineKey engine, TimePoint now);
    void stored(EngineKey engine, Incarnation incarnation, const ChainHash &hash, TimePoint now);
    void evicted(EngineKey engine, Incarnation incarnation, const ChainHash &hash);

    /// @brief As CacheView::holders. Thread-safe.
    [[nodiscard]] std::vector<PrefixHolder> holders(const PrefixChain &chain, TimePoint now) const;

    /// @brief As CacheView::entries, over all shards; @p from is 0 or the next position that the
    /// previous page returned.
    [[nodiscard]] CacheEntryPage entries(std::size_t from, std::size_t most, TimePoint now) const;

private:
    static constexpr std::size_t Shards = 16;

    struct Shard
    {
        mutable std::shared_mutex mutex;
        CacheView view{0};
    };

    [[nodiscard]] Shard &shardOf(const ChainHash &hash) { return m_shards[hash.high % Shards]; }
    [[nodiscard]] const Shard &shardOf(const ChainHash &hash) const
    {
        return m_shards[hash.high % Shards];
    }

    std::array<Shard, Shards> m_shards;
};

} // namespace vanilladyke
