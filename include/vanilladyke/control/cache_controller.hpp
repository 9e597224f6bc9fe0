#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"

#include <unordered_map>

namespace vanilladyke {

/// @brief Writes the cache view: from engines' cache events, and from what this node sent.
class CacheController
{
public:
    explicit CacheController(SharedCacheView &view)
        : m_view(view)
    {}

    void handle(const Event &event, TimePoint now);
    /// @brief Takes over what a peer knows; what this node learned itself later stays.
    void takeOver(const CacheEntry &entry, TimePoint now);
    void contribute(Fleet &, TimePoint) const {} // the view is read where it is

private:
    /// How far an engine's event feed was read.
    struct Feed
    {
        Incarnation incarnation{};
        std::uint64_t next = 1; ///< number of the event to come
    };

    void take(const CacheEventsRead &page, TimePoint now);
    void take(const PrefixSent &sent, TimePoint now);
    void enterIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now);

    SharedCacheView &m_view;
    std::unordered_map<EngineKey, Feed> m_feeds;
};

} // namespace vanilladyke
