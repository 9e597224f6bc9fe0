#include "vanilladyke/control/cache_controller.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

void CacheController::handle(const Event &event, TimePoint now)
{
    if (const auto *report = std::get_if<EngineReported>(&event)) {
        enterIncarnation(engineKeyOf(report->engine), report->incarnation, now);
    } else if (const auto *page = std::get_if<CacheEventsRead>(&event)) {
        apply(*page, now);
    } else if (const auto *sent = std::get_if<PrefixSent>(&event)) {
        apply(*sent, now);
    }
}

void CacheController::mergeEntry(const CacheEntry &entry, TimePoint now)
{
    enterIncarnation(entry.engine, entry.incarnation, now - entry.age);
    m_view.stored(entry.engine, entry.incarnation, entry.hash, now - entry.age);
}

void CacheController::enterIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now)
{
    const auto [found, added] = m_feeds.try_emplace(engine, Feed{incarnation, 1});
    if (!added && found->second.incarnation >= incarnation) {
        return;
    }
    found->second = {incarnation, 1};
    m_view.setIncarnation(engine, incarnation, now);
}

/// A page may be read twice or arrive late: the read position never goes back, and pages of another
/// incarnation are ignored. A gap in the sequence numbers may hide an eviction, so
/// all earlier entries of the engine are marked untrusted when one is found.
void CacheController::apply(const CacheEventsRead &page, TimePoint now)
{
    const EngineKey engine = engineKeyOf(page.engine);
    enterIncarnation(engine, page.incarnation, now);
    Feed &feed = m_feeds.at(engine);
    if (feed.incarnation != page.incarnation) {
        return;
    }
    bool gap = page.first > feed.next;
    for (const CacheEvent &event : page.events) {
        gap = gap || event.sequence > feed.next;
        feed.next = std::max(feed.next, event.sequence + 1);
    }
    gap = gap || page.next > feed.next;
    feed.next = std::max(feed.next, page.next);
    if (gap) {
        LogEvent("cache_events_lost", Severity::Warning)
                .field("engine", page.engine.str())
                .field("next", feed.next);
        m_view.distrust(engine, now);
    }
    for (const CacheEvent &event : page.events) {
        if (event.kind == CacheEventKind::Stored) {
            m_view.stored(engine, page.incarnation, event.hash, now);
        } else {
            m_view.evicted(engine, page.incarnation, event.hash);
        }
    }
}

void CacheController::apply(const PrefixSent &sent, TimePoint now)
{
    for (const PrefixCut &cut : *sent.chain) {
        m_view.stored(sent.engine, sent.incarnation, cut.hash, now);
    }
}

} // namespace vanilladyke
