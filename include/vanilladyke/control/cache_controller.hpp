#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

#include <unordered_map>

namespace vanilladyke {

/// @brief Updates the cache view from the engines' cache events and from prompts this node sent.
class CacheController
{
public:
    explicit CacheController(SharedCacheView &view)
        : m_view(view)
    {}

    void handle(const Event &event, TimePoint now);
    /// @brief Adds an entry of a peer's view. It has no effect if its incarnation is older than the
    /// one recorded here, or if the view holds a newer entry.
    void mergeEntry(const CacheEntry &entry, TimePoint now);
    void contribute(Fleet &, TimePoint) const {} // traffic threads read the view directly

private:
    /// Read position in an engine's event feed.
    struct Feed
    {
        Incarnation incarnation{};
        std::uint64_t next = 1; ///< sequence number of the next expected event
    };

    void apply(const CacheEventsRead &page, TimePoint now);
    void apply(const PrefixSent &sent, TimePoint now);
    void enterIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now);

    SharedCacheView &m_view;
    std::unordered_map<EngineKey, Feed> m_feeds;
};

} // namespace vanilladyke
