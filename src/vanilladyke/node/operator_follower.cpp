#include "vanilladyke/node/operator_follower.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/node/packed_record.hpp"

namespace vanilladyke {

namespace {

/// Each answer renews the freshness proof of the configuration, so this bounds the proof's age. New
/// records end the wait at once.
constexpr Duration LongestWait = std::chrono::milliseconds(1700);
/// Wait of a node that reads for others, as a fraction of the time within which a change has to be
/// in force. A reader that has lost the store may not detect it; other nodes detect it by the age
/// of its proof. With a longer wait the proof of a healthy reader would be as old as that of a
/// reader that is cut off.
constexpr double ReaderWaitFraction = 0.45;
/// Fraction of the same time after which another node's proof is too old and this node reads the
/// store itself. The rest of the time is left for that call.
constexpr double MaxPeerProofFraction = 0.75;
/// Fraction of the same time for which a listing counts as fresh. A starting node finds a reader
/// meanwhile.
constexpr double FreshListingFraction = 0.4;
/// Lower bound of the random fraction of the wait that each call uses. All nodes begin their next
/// call when a record arrives; with equal waits, a moment at which the store misses waiting calls
/// would hit all nodes at once.
constexpr double MinWaitFraction = 0.8;
/// Time for the answer of this node's waiting call to arrive once another node has the record.
/// After that the store is assumed to have missed the call.
constexpr Duration MissedCallAfter = std::chrono::milliseconds(150);

/// The time up to which the page contains all of the operator's writes. The store answers a read as
/// soon as there is a record, so an empty answer after the whole wait proves that none was written
/// until its end.
TimePoint proofTimeOf(const RecordPage &page, TimePoint sentAt, Duration wait, TimePoint now)
{
    const bool waitedFully = page.records.empty() && now - sentAt >= wait;
    return waitedFully ? sentAt + wait : sentAt;
}

} // namespace

asio::awaitable<void> OperatorFollower::follow()
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
        const Duration limit = m_context.limits.apply;
        const bool isFresh =
                BootClock::now() - m_listedAt < fractionOf(limit, FreshListingFraction);
        if (isFresh || m_sharing.isShared(m_topic, fractionOf(limit, MaxPeerProofFraction))) {
            co_await m_context.pause(ReadSharing::AskInterval / 4);
            continue;
        }
        co_await read(backOff);
    }
}

void OperatorFollower::receivedNext(std::uint64_t era, std::uint64_t next)
{
    if (era != m_topic.era) {
        return; // offsets of two eras can't be compared
    }
    if (next > m_rejectedNext) {
        m_receivedNext = std::max(m_receivedNext, next);
    }
    if (m_receivedNext > m_topic.next && m_topic.isReading && !m_isCatchingUp) {
        asio::co_spawn(m_context.io, catchUp(), asio::detached);
    }
}

bool OperatorFollower::isTooOld(const std::optional<RecordRelay::Updates> &updates) const
{
    return updates && updates->age >= fractionOf(m_context.limits.apply, MaxPeerProofFraction);
}

void OperatorFollower::applyAnswer(const std::optional<RecordRelay::Updates> &updates,
                                   TimePoint requestedAt)
{
    m_topic.answered(updates, requestedAt);
    if (updates && updates->era == m_topic.era && updates->next >= m_topic.next) {
        applyUpdates(*updates, requestedAt);
    }
}

asio::awaitable<void> OperatorFollower::read(BackOff &backOff)
{
    const TimePoint sentAt = BootClock::now();
    const std::uint64_t from = m_topic.next;
    const Duration longest = m_sharing.readsForOthers() ? readerWait(sentAt) : LongestWait;
    const double fraction = MinWaitFraction + (1 - MinWaitFraction) * uniform(m_context.random);
    const Duration wait = fractionOf(longest, fraction);
    m_context.calls.count(StoreCall::Wait, StoreTopic::Operator, m_sharing.readCause(m_topic));
    m_topic.isReading = true;
    const auto page = co_await m_context.store.read(StateTopic::Operator, from, wait);
    m_topic.isReading = false;
    if (!page) {
        m_topic.isListed = page.error() != StoreError::Expired;
        if (m_topic.isListed) {
            co_await m_context.failed(backOff);
        }
        co_return;
    }
    backOff.succeeded();
    if (page->era != m_topic.era) {
        m_topic.isListed =
                false; // the store has lost records: those that were read may be among them
        co_return;
    }
    m_topic.mustRead = false;
    applyPage(*page, from, proofTimeOf(*page, sentAt, wait, BootClock::now()));
}

asio::awaitable<bool> OperatorFollower::list()
{
    const TimePoint sentAt = BootClock::now();
    m_context.calls.count(StoreCall::List, StoreTopic::Operator, CallCause::Start);
    const auto newest = co_await m_context.store.newest(StateTopic::Operator);
    if (!newest) {
        co_return false;
    }
    // If the records were followed before, everything new was written after the last proof.
    const bool hasProof = m_topic.provedAt != TimePoint::min();
    const auto age = hasProof ? std::optional(BootClock::now() - m_topic.provedAt) : std::nullopt;
    m_topic.relay.restartWithListing(newest->end, newest->era);
    if (newest->era != m_topic.era) {
        LogEvent("topic_listed_anew")
                .field("topic", "operator")
                .field("era", newest->era)
                .field("next", newest->end)
                .field("before", m_topic.next);
        m_receivedNext = 0;
        m_rejectedNext = 0;
    }
    m_topic.era = newest->era;
    setNext(newest->end);
    m_publishedEra = newest->era; // after the offset: the other order would name a wrong offset
    for (const KeyedRecord &record : newest->items) {
        m_context.translator.applyOperator(record, age, m_context.listener);
        m_topic.relay.addChange(record.offset, packRecord(m_context.translator.join(record)),
                                record.key);
    }
    m_listedAt = sentAt;
    renewProof(sentAt);
    co_return true;
}

asio::awaitable<void> OperatorFollower::catchUp()
{
    m_isCatchingUp = true;
    co_await m_context.pause(MissedCallAfter);
    if (m_topic.isListed && m_topic.isReading && m_topic.next < m_receivedNext) {
        const std::uint64_t received = m_receivedNext;
        const std::uint64_t from = m_topic.next;
        const TimePoint sentAt = BootClock::now();
        LogEvent("operator_wait_passed_over").field("next", from).field("heard", received);
        m_context.calls.count(StoreCall::Read, StoreTopic::Operator, CallCause::PeerKnowsMore);
        const auto page =
                co_await m_context.store.read(StateTopic::Operator, from, Duration::zero());
        if (page && page->era == m_topic.era && page->end < received) {
            LogEvent("heard_offset_wrong", Severity::Error)
                    .field("heard", received)
                    .field("end", page->end);
            m_rejectedNext = received;
            m_receivedNext = 0;
        }
        if (page && page->era == m_topic.era) {
            applyPage(*page, from, sentAt);
        }
    }
    m_isCatchingUp = false;
}

Duration OperatorFollower::readerWait(TimePoint now) const
{
    // After a change the last proof is as old as the call that returned the change. A whole wait on
    // top would make it so old that all asking nodes read the store themselves.
    const Duration longest =
            std::min(fractionOf(m_context.limits.apply, ReaderWaitFraction), LongestWait);
    const Duration age = std::max(Duration::zero(), now - m_topic.provedAt);
    return std::max(longest - age, longest / 4);
}

void OperatorFollower::apply(std::uint64_t offset, const std::string &record, Duration age,
                             std::string_view by)
{
    const auto keyed = m_context.translator.split(record);
    LogEvent("operator_record")
            .field("key", keyed ? keyed->key : std::string("unreadable"))
            .field("offset", offset)
            .field("by", by)
            .field("age_ms", age)
            .field("proof_age_ms", BootClock::now() - m_topic.provedAt);
    if (keyed) {
        m_context.translator.applyOperator(*keyed, age, m_context.listener);
    }
    m_topic.relay.addChange(offset, packRecord(record), keyed ? keyed->key : std::string());
}

void OperatorFollower::applyPage(const RecordPage &page, std::uint64_t from, TimePoint provedAt)
{
    // All records written before the last proof were read, so these are younger. No tighter bound
    // holds, even though the store usually answers promptly.
    const Duration age = BootClock::now() - m_topic.provedAt;
    for (std::size_t i = 0; i < page.records.size(); ++i) {
        if (from + i >= m_topic.next) { // a peer may have sent it meanwhile
            apply(from + i, page.records[i], age, "store");
        }
    }
    setNext(std::max(m_topic.next, from + page.records.size()));
    if (m_topic.next >= page.end) {
        renewProof(provedAt);
    }
}

void OperatorFollower::applyUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt)
{
    // All records written before the last proof were read, so these are younger.
    const Duration age = BootClock::now() - m_topic.provedAt;
    for (const RecordRelay::Change &change : updates.changes) {
        if (change.offset < m_topic.next) {
            continue;
        }
        auto record = unpackRecord(change.record);
        if (!record) {
            // Skipping the record would leave the change out for good, while the proof states that
            // all changes are applied.
            LogEvent("shared_record_unreadable", Severity::Warning).field("offset", change.offset);
            m_topic.mustRead = true;
            return;
        }
        apply(change.offset, *record, age, "peer");
        m_topic.next = change.offset + 1;
    }
    setNext(updates.next);
    renewProof(requestedAt - updates.age);
}

void OperatorFollower::renewProof(TimePoint at)
{
    // While another node has read further, the store has left a record out of an answer.
    if (at > m_topic.provedAt && m_topic.next >= m_receivedNext) {
        m_topic.provedAt = at;
        m_topic.relay.addFreshnessProof(at);
        m_context.listener.configurationProved(at);
    }
}

void OperatorFollower::setNext(std::uint64_t next)
{
    m_topic.next = next;
    m_topic.relay.readUpTo(next);
    m_publishedNext = next;
}

} // namespace vanilladyke
