#include "vanilladyke/node/backends_follower.hpp"

#include "vanilladyke/node/boot_clock.hpp"

namespace vanilladyke {

namespace {

/// Poll interval for entries, as a fraction of the time within which a draining server has to be
/// removed; the rest is left for one call without an answer. Entries are written at each heartbeat,
/// so that a waiting call would return for each of them.
constexpr double PollFraction = 0.42;
/// The same for a node that reads for others, which ask it only afterwards.
constexpr double ReaderPollFraction = 0.25;
/// Least interval of reads that requests wait for: all that come meanwhile share the next one, and
/// hundreds of nodes stay within the store's rate.
constexpr Duration WantedInterval = std::chrono::milliseconds(100);

} // namespace

asio::awaitable<void> BackendsFollower::follow()
{
    BackOff backOff(FollowContext::RetryIntervals);
    while (!m_context.isStopped) {
        if (!m_topic.isListed || m_topic.era != m_context.era.view().era) {
            m_topic.isListed = co_await list();
            if (!m_topic.isListed) {
                co_await m_context.failed(backOff);
            }
            continue;
        }
        const Duration limit = fractionOf(m_context.limits.drain, PollFraction);
        if (!isWanted() && m_sharing.isShared(m_topic, limit)) {
            co_await pause(ReadSharing::AskInterval / 4);
            continue;
        }
        const double fraction = m_sharing.readsForOthers() ? ReaderPollFraction : PollFraction;
        const Duration age = BootClock::now() - m_topic.provedAt;
        const Duration rest = fractionOf(m_context.limits.drain, fraction) - age;
        if (!isWanted() && rest > Duration::zero()) {
            co_await pause(rest);
        }
        const Duration sinceLast = BootClock::now() - m_sentAt;
        if (m_sentAt != TimePoint::min() && sinceLast < WantedInterval) {
            co_await m_context.pause(WantedInterval - sinceLast);
        }
        co_await read(backOff);
    }
}

void BackendsFollower::readSince(TimePoint since)
{
    m_wantedSince = std::max(m_wantedSince, since);
    m_pause.cancel();
}

bool BackendsFollower::isWanted() const
{
    return m_topic.provedAt < m_wantedSince;
}

asio::awaitable<void> BackendsFollower::pause(Duration span)
{
    m_pause.expires_after(span);
    ErrorCode ignored;
    co_await m_pause.async_wait(redirectError(ignored));
}

bool BackendsFollower::isTooOld(const std::optional<RecordRelay::Updates> &updates) const
{
    return updates && updates->age >= fractionOf(m_context.limits.drain, PollFraction);
}

void BackendsFollower::applyAnswer(const std::optional<RecordRelay::Updates> &updates,
                                   TimePoint requestedAt)
{
    m_topic.answered(updates, requestedAt);
    if (updates && updates->era == m_topic.era && updates->next >= m_topic.next) {
        applyUpdates(*updates, requestedAt);
    }
}

asio::awaitable<bool> BackendsFollower::list()
{
    const TimePoint sentAt = BootClock::now();
    m_context.calls.count(StoreCall::List, StoreTopic::Backends, CallCause::Start);
    const auto newest = co_await m_context.store.newest(StateTopic::Backends);
    if (!newest) {
        m_context.listener.backendsReadFailed(sentAt);
        co_return false;
    }
    if (newest->hadFailures) {
        m_context.listener.storeFailed(); // entries may have lapsed meanwhile
    }
    std::map<EngineId, bool> present;
    for (const KeyedRecord &record : newest->items) {
        present[EngineId(record.key)] = true;
        m_context.translator.applyBackend(record, newest->era, m_context.listener);
    }
    // What servers wrote after an older copy was made is written again within moments.
    const bool mayLackEntries = newest->era != m_topic.era && m_topic.provedAt != TimePoint::min();
    m_context.listener.backendsListed(present, mayLackEntries);
    m_topic.era = newest->era;
    m_topic.next = newest->end;
    m_topic.relay.restart(newest->end, newest->era);
    ++m_topic.listings;
    proved(sentAt);
    co_return true;
}

asio::awaitable<void> BackendsFollower::read(BackOff &backOff)
{
    const TimePoint sentAt = BootClock::now();
    m_sentAt = sentAt;
    const std::uint64_t from = m_topic.next;
    m_context.calls.count(StoreCall::Read, StoreTopic::Backends, m_sharing.readCause(m_topic));
    m_topic.isReading = true;
    const auto page = co_await m_context.store.read(StateTopic::Backends, from, Duration::zero());
    m_topic.isReading = false;
    if (!page) {
        m_topic.isListed = page.error() != StoreError::Expired;
        if (m_topic.isListed) {
            m_context.listener.backendsReadFailed(sentAt);
            co_await m_context.failed(backOff);
        }
        co_return;
    }
    backOff.succeeded();
    if (page->era != m_topic.era) {
        m_topic.isListed = false;
        co_return;
    }
    const std::uint64_t next = from + page->records.size();
    for (std::uint64_t offset = from; offset < next; ++offset) {
        if (offset >= m_topic.next) {
            apply(offset, page->records[offset - from]);
        }
    }
    m_topic.mustRead = false;
    setNext(std::max(m_topic.next, next));
    if (m_topic.next >= page->end) {
        proved(sentAt);
    }
}

void BackendsFollower::proved(TimePoint at)
{
    m_topic.provedAt = std::max(m_topic.provedAt, at);
    m_topic.relay.addFreshnessProof(at);
    m_context.listener.backendsProved(m_topic.provedAt);
}

void BackendsFollower::apply(std::uint64_t offset, std::string record)
{
    auto keyed = m_context.translator.split(record);
    if (!keyed) {
        return;
    }
    keyed->offset = offset;
    if (m_context.translator.applyBackend(*keyed, m_topic.era, m_context.listener)) {
        m_topic.relay.addChange(offset, std::move(record));
    }
}

void BackendsFollower::setNext(std::uint64_t next)
{
    m_topic.next = next;
    m_topic.relay.readUpTo(next);
}

void BackendsFollower::applyUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt)
{
    for (const RecordRelay::Change &change : updates.changes) {
        if (change.offset >= m_topic.next) {
            apply(change.offset, change.record);
        }
    }
    setNext(updates.next);
    proved(requestedAt - updates.age);
}

} // namespace vanilladyke
