#include "vanilladyke/node/state_follower.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/node/packed_record.hpp"

#include <sodium.h>

namespace vanilladyke {

namespace {

/// Each answer renews the freshness proof of the configuration, so this bounds the proof's age. New
/// records end the wait at once.
constexpr Duration OperatorWait = std::chrono::milliseconds(1700);
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
/// Poll interval for entries, as a fraction of the time within which a draining server has to be
/// removed; the rest is left for one call without an answer. Entries are written at each heartbeat,
/// so that a waiting call would return for each of them.
constexpr double BackendsPollFraction = 0.42;
/// The same for a node that reads for others, which ask it only afterwards.
constexpr double ReaderBackendsPollFraction = 0.25;
constexpr Duration AskInterval = std::chrono::milliseconds(400);
/// More than the number of nodes that fail together before the others detect it.
constexpr std::size_t StandbyNodes = 9;
/// Nodes that start together register within this time. A node sends updates to all nodes in its
/// list, so that one listing by either of two nodes connects both.
constexpr Duration NodesListDelay = std::chrono::milliseconds(700);
/// For nodes that were cut off from all others when those started. Each listing costs a call per
/// node.
constexpr Duration NodesListInterval = std::chrono::minutes(5);
constexpr Duration FleetKeyRetryDelay = std::chrono::milliseconds(900);
/// Hundreds of nodes start at the same time. With starts spread over this span nearly all of them
/// find the key that the first one wrote; otherwise each would list, append and list again.
constexpr Duration FleetKeyStartSpread = std::chrono::milliseconds(400);
/// Back-off after failed calls: a lost answer must not use up the time within which a change has to
/// take effect, and a store that is down must not be flooded.
constexpr BackOffIntervals RetryIntervals{std::chrono::milliseconds(60),
                                          std::chrono::milliseconds(500)};
/// Compressed size that fits into one datagram. Each node reads a larger configuration from the
/// store itself.
constexpr std::size_t MaxSharedBytes = 16000;
constexpr const char *FleetKeyName = "key";

std::vector<Endpoint> endpointsOf(const std::vector<KeyedRecord> &nodes)
{
    std::vector<Endpoint> endpoints;
    for (const KeyedRecord &node : nodes) {
        Endpoint endpoint;
        if (parseEndpoint(node.value, &endpoint)) {
            endpoints.push_back(std::move(endpoint));
        }
    }
    return endpoints;
}

/// The time up to which the page contains all of the operator's writes. The store answers a read as
/// soon as there is a record, so an empty answer after the whole wait proves that none was written
/// until its end.
TimePoint proofTimeOf(const RecordPage &page, TimePoint sentAt, Duration wait, TimePoint now)
{
    const bool waitedFully = page.records.empty() && now - sentAt >= wait;
    return waitedFully ? sentAt + wait : sentAt;
}

Duration fractionOf(Duration span, double fraction)
{
    return spanOfSeconds(secondsOf(span) * fraction);
}

} // namespace

StateFollower::StateFollower(asio::io_context &context, RecordStore &store,
                             const StateTranslator &translator, StateListener &listener,
                             StoreCalls &calls, NodeIdentity self, FollowLimits limits,
                             std::uint64_t seed)
    : m_context(context)
    , m_store(store)
    , m_translator(translator)
    , m_listener(listener)
    , m_calls(calls)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_random(seed)
    , m_readers(m_self.hash, m_self.dataCentre)
{}

void StateFollower::start()
{
    asio::co_spawn(m_context, followOperator(), asio::detached);
    asio::co_spawn(m_context, followBackends(), asio::detached);
    asio::co_spawn(m_context, followNodes(), asio::detached);
    asio::co_spawn(m_context, findFleetKey(), asio::detached);
    asio::co_spawn(m_context, followReader(), asio::detached);
}

void StateFollower::nodeSeen(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint)
{
    m_readers.nodeSeen(node, dataCentre, endpoint, BootClock::now());
}

std::optional<std::size_t> StateFollower::standbyRank() const
{
    const std::size_t rank = m_readers.rank(BootClock::now());
    return rank < StandbyNodes ? std::optional(rank) : std::nullopt;
}

SharedUpdates StateFollower::updatesSince(std::uint64_t operatorNext,
                                          std::uint64_t backendsNext) const
{
    const TimePoint now = BootClock::now();
    return {m_operator.relay.changesSince(operatorNext, MaxSharedBytes, now),
            m_backends.relay.changesSince(backendsNext, MaxSharedBytes, now)};
}

asio::awaitable<void> StateFollower::pause(Duration span)
{
    asio::steady_timer timer(m_context, span);
    ErrorCode ignored;
    co_await timer.async_wait(redirectError(ignored));
}

asio::awaitable<void> StateFollower::failed(BackOff &backOff)
{
    m_listener.storeFailed();
    const TimePoint now = MonotonicClock::now();
    backOff.failed(now, m_random);
    co_await pause(backOff.retryAt() - now);
}

bool StateFollower::isShared(const Topic &topic, Duration limit) const
{
    const TimePoint now = BootClock::now();
    return m_ask && topic.isListed && !topic.mustRead && now - topic.provedAt < limit
           && m_readers.readerToAsk(now);
}

CallCause StateFollower::readCause(const Topic &topic) const
{
    if (!m_ask) {
        return CallCause::Start;
    }
    if (topic.mustRead) {
        return CallCause::PeerCouldNotTell;
    }
    if (m_readers.readerToAsk(BootClock::now())) {
        return CallCause::OldProof;
    }
    return readsForOthers() ? CallCause::ForOthers : CallCause::Alone;
}

bool StateFollower::readsForOthers() const
{
    return m_ask && m_readers.size() + 1 >= StoreReaderSelection::MinNodes;
}

asio::awaitable<void> StateFollower::followReader()
{
    while (!m_stopped) {
        co_await pause(spanOfSeconds(secondsOf(AskInterval) * (0.75 + uniform(m_random) / 2)));
        const TimePoint requestedAt = BootClock::now();
        const auto reader = m_readers.readerToAsk(requestedAt);
        if (!m_ask || !reader || !m_operator.isListed || !m_backends.isListed) {
            continue;
        }
        const Endpoint endpoint = m_readers.endpointOf(*reader);
        const auto updates = co_await m_ask(endpoint, m_operator.next, m_backends.next);
        if (!updates) {
            m_readers.backOff(*reader, BootClock::now());
            LogEvent("reader_doubted").field("reader", endpoint.str());
            continue;
        }
        if (isBehind(*updates)) {
            // The reader answers but doesn't reach the store. All nodes that kept asking it would
            // have to read the store themselves.
            m_readers.backOff(*reader, BootClock::now());
            LogEvent("reader_behind").field("reader", endpoint.str());
        } else {
            m_readers.answered(*reader);
        }
        applyUpdates(*updates, requestedAt);
    }
}

bool StateFollower::isBehind(const SharedUpdates &updates) const
{
    const auto isOld = [](const std::optional<RecordRelay::Updates> &topic, Duration oldest) {
        return topic && topic->age >= oldest;
    };
    return isOld(updates.configuration, fractionOf(m_limits.apply, MaxPeerProofFraction))
           || isOld(updates.backends, fractionOf(m_limits.drain, BackendsPollFraction));
}

void StateFollower::mustRead(Topic *topic, const std::optional<RecordRelay::Updates> &updates,
                             TimePoint requestedAt)
{
    // A pending own call, or one that was answered after the request, covers the topic already.
    if (!updates && !topic->isReading && topic->provedAt < requestedAt) {
        topic->mustRead = true;
    }
}

void StateFollower::applyUpdates(const SharedUpdates &updates, TimePoint requestedAt)
{
    mustRead(&m_operator, updates.configuration, requestedAt);
    mustRead(&m_backends, updates.backends, requestedAt);
    if (updates.configuration && updates.configuration->next >= m_operator.next) {
        applyOperatorUpdates(*updates.configuration, requestedAt);
    }
    if (updates.backends && updates.backends->next >= m_backends.next) {
        for (const RecordRelay::Change &change : updates.backends->changes) {
            if (change.offset >= m_backends.next) {
                applyBackend(change.offset, change.record);
            }
        }
        m_backends.next = updates.backends->next;
        m_backends.relay.readUpTo(m_backends.next);
        m_backends.provedAt = std::max(m_backends.provedAt, requestedAt - updates.backends->age);
        m_backends.relay.addFreshnessProof(m_backends.provedAt);
    }
}

void StateFollower::applyOperatorUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt)
{
    // All records written before the last proof were read, so these are younger.
    const Duration age = BootClock::now() - m_operator.provedAt;
    for (const RecordRelay::Change &change : updates.changes) {
        if (change.offset < m_operator.next) {
            continue;
        }
        auto record = unpackRecord(change.record);
        if (!record) {
            // Skipping the record would leave the change out for good, while the proof states that
            // all changes are applied.
            LogEvent("shared_record_unreadable", Severity::Warning).field("offset", change.offset);
            m_operator.mustRead = true;
            return;
        }
        applyOperator(change.offset, *record, age, "peer");
        m_operator.next = change.offset + 1;
    }
    setOperatorNext(updates.next);
    renewOperatorProof(requestedAt - updates.age);
}

void StateFollower::renewOperatorProof(TimePoint at)
{
    // While another node has read further, the store has left a record out of an answer.
    if (at > m_operator.provedAt && m_operator.next >= m_receivedNext) {
        m_operator.provedAt = at;
        m_operator.relay.addFreshnessProof(at);
        m_listener.configurationProved(at);
    }
}

asio::awaitable<void> StateFollower::followOperator()
{
    BackOff backOff(RetryIntervals);
    while (!m_stopped) {
        if (!m_operator.isListed) {
            m_operator.isListed = co_await listOperator();
            if (!m_operator.isListed) {
                co_await failed(backOff);
            }
            continue;
        }
        const bool isFresh =
                BootClock::now() - m_listedAt < fractionOf(m_limits.apply, FreshListingFraction);
        if (isFresh || isShared(m_operator, fractionOf(m_limits.apply, MaxPeerProofFraction))) {
            co_await pause(AskInterval / 4);
            continue;
        }
        co_await readOperator(backOff);
    }
}

asio::awaitable<bool> StateFollower::listOperator()
{
    const TimePoint sentAt = BootClock::now();
    m_calls.count(StoreCall::List, StoreTopic::Operator, CallCause::Start);
    const auto newest = co_await m_store.newest(StateTopic::Operator);
    if (!newest) {
        co_return false;
    }
    // If the records were followed before, everything new was written after the last proof.
    const bool hasProof = m_operator.provedAt != TimePoint::min();
    const auto age =
            hasProof ? std::optional(BootClock::now() - m_operator.provedAt) : std::nullopt;
    m_operator.relay.restartWithListing(newest->end);
    setOperatorNext(newest->end);
    for (const KeyedRecord &record : newest->items) {
        m_translator.applyOperator(record, age, m_listener);
        m_operator.relay.addChange(record.offset, packRecord(m_translator.join(record)),
                                   record.key);
    }
    m_listedAt = sentAt;
    renewOperatorProof(sentAt);
    co_return true;
}

Duration StateFollower::readerWait(TimePoint now) const
{
    // After a change the last proof is as old as the call that returned the change. A whole wait on
    // top would make it so old that all asking nodes read the store themselves.
    const Duration longest = std::min(fractionOf(m_limits.apply, ReaderWaitFraction), OperatorWait);
    const Duration age = std::max(Duration::zero(), now - m_operator.provedAt);
    return std::max(longest - age, longest / 4);
}

asio::awaitable<void> StateFollower::readOperator(BackOff &backOff)
{
    const TimePoint sentAt = BootClock::now();
    const std::uint64_t from = m_operator.next;
    const Duration longest = readsForOthers() ? readerWait(sentAt) : OperatorWait;
    const double fraction = MinWaitFraction + (1 - MinWaitFraction) * uniform(m_random);
    const Duration wait = fractionOf(longest, fraction);
    m_calls.count(StoreCall::Wait, StoreTopic::Operator, readCause(m_operator));
    m_operator.isReading = true;
    const auto page = co_await m_store.read(StateTopic::Operator, from, wait);
    m_operator.isReading = false;
    if (!page) {
        m_operator.isListed = page.error() != StoreError::Expired;
        if (m_operator.isListed) {
            co_await failed(backOff);
        }
        co_return;
    }
    backOff.succeeded();
    m_operator.mustRead = false;
    applyOperatorPage(*page, from, proofTimeOf(*page, sentAt, wait, BootClock::now()));
}

void StateFollower::applyOperatorPage(const RecordPage &page, std::uint64_t from,
                                      TimePoint provedAt)
{
    // All records written before the last proof were read, so these are younger. No tighter bound
    // holds, even though the store usually answers promptly.
    const Duration age = BootClock::now() - m_operator.provedAt;
    for (std::size_t i = 0; i < page.records.size(); ++i) {
        if (from + i >= m_operator.next) { // a peer may have sent it meanwhile
            applyOperator(from + i, page.records[i], age, "store");
        }
    }
    setOperatorNext(std::max(m_operator.next, from + page.records.size()));
    if (m_operator.next >= page.end) {
        renewOperatorProof(provedAt);
    }
}

void StateFollower::setOperatorNext(std::uint64_t next)
{
    m_operator.next = next;
    m_operator.relay.readUpTo(next);
    m_operatorNext = next;
}

void StateFollower::receivedOperatorNext(std::uint64_t next)
{
    if (next > m_rejectedNext) {
        m_receivedNext = std::max(m_receivedNext, next);
    }
    if (m_receivedNext > m_operator.next && m_operator.isReading && !m_isCatchingUp) {
        asio::co_spawn(m_context, catchUp(), asio::detached);
    }
}

asio::awaitable<void> StateFollower::catchUp()
{
    m_isCatchingUp = true;
    co_await pause(MissedCallAfter);
    if (m_operator.isListed && m_operator.isReading && m_operator.next < m_receivedNext) {
        const std::uint64_t received = m_receivedNext;
        const std::uint64_t from = m_operator.next;
        const TimePoint sentAt = BootClock::now();
        LogEvent("operator_wait_passed_over").field("next", from).field("heard", received);
        m_calls.count(StoreCall::Read, StoreTopic::Operator, CallCause::PeerKnowsMore);
        const auto page = co_await m_store.read(StateTopic::Operator, from, Duration::zero());
        if (page && page->end < received) {
            LogEvent("heard_offset_wrong", Severity::Error)
                    .field("heard", received)
                    .field("end", page->end);
            m_rejectedNext = received;
            m_receivedNext = 0;
        }
        if (page) {
            applyOperatorPage(*page, from, sentAt);
        }
    }
    m_isCatchingUp = false;
}

void StateFollower::applyOperator(std::uint64_t offset, const std::string &record, Duration age,
                                  std::string_view by)
{
    const auto keyed = m_translator.split(record);
    LogEvent("operator_record")
            .field("key", keyed ? keyed->key : std::string("unreadable"))
            .field("offset", offset)
            .field("by", by)
            .field("age_ms", age)
            .field("proof_age_ms", BootClock::now() - m_operator.provedAt);
    if (keyed) {
        m_translator.applyOperator(*keyed, age, m_listener);
    }
    m_operator.relay.addChange(offset, packRecord(record), keyed ? keyed->key : std::string());
}

asio::awaitable<bool> StateFollower::listBackends()
{
    const TimePoint sentAt = BootClock::now();
    m_calls.count(StoreCall::List, StoreTopic::Backends, CallCause::Start);
    const auto newest = co_await m_store.newest(StateTopic::Backends);
    if (!newest) {
        co_return false;
    }
    std::map<EngineId, bool> present;
    for (const KeyedRecord &record : newest->items) {
        present[EngineId(record.key)] = true;
        m_translator.applyBackend(record, m_listener);
    }
    m_listener.backendsListed(present);
    m_backends.next = newest->end;
    m_backends.relay.restart(newest->end);
    m_backends.provedAt = sentAt;
    m_backends.relay.addFreshnessProof(sentAt);
    co_return true;
}

asio::awaitable<void> StateFollower::followBackends()
{
    BackOff backOff(RetryIntervals);
    while (!m_stopped) {
        if (!m_backends.isListed) {
            m_backends.isListed = co_await listBackends();
            if (!m_backends.isListed) {
                co_await failed(backOff);
            }
            continue;
        }
        const Duration limit = fractionOf(m_limits.drain, BackendsPollFraction);
        if (isShared(m_backends, limit)) {
            co_await pause(AskInterval / 4);
            continue;
        }
        const double fraction =
                readsForOthers() ? ReaderBackendsPollFraction : BackendsPollFraction;
        const Duration age = BootClock::now() - m_backends.provedAt;
        const Duration rest = fractionOf(m_limits.drain, fraction) - age;
        if (rest > Duration::zero()) {
            co_await pause(rest);
        }
        co_await readBackends(backOff);
    }
}

asio::awaitable<void> StateFollower::readBackends(BackOff &backOff)
{
    const TimePoint sentAt = BootClock::now();
    const std::uint64_t from = m_backends.next;
    m_calls.count(StoreCall::Read, StoreTopic::Backends, readCause(m_backends));
    m_backends.isReading = true;
    const auto page = co_await m_store.read(StateTopic::Backends, from, Duration::zero());
    m_backends.isReading = false;
    if (!page) {
        m_backends.isListed = page.error() != StoreError::Expired;
        if (m_backends.isListed) {
            co_await failed(backOff);
        }
        co_return;
    }
    backOff.succeeded();
    const std::uint64_t next = from + page->records.size();
    for (std::uint64_t offset = from; offset < next; ++offset) {
        if (offset >= m_backends.next) {
            applyBackend(offset, page->records[offset - from]);
        }
    }
    m_backends.mustRead = false;
    m_backends.next = std::max(m_backends.next, next);
    m_backends.relay.readUpTo(m_backends.next);
    if (m_backends.next >= page->end) {
        m_backends.provedAt = std::max(m_backends.provedAt, sentAt);
        m_backends.relay.addFreshnessProof(sentAt);
    }
}

void StateFollower::applyBackend(std::uint64_t offset, std::string record)
{
    const auto keyed = m_translator.split(record);
    if (keyed && m_translator.applyBackend(*keyed, m_listener)) {
        m_backends.relay.addChange(offset, std::move(record));
    }
}

asio::awaitable<void> StateFollower::followNodes()
{
    bool isRegistered = false;
    while (!m_stopped) {
        if (!isRegistered) {
            KeyedRecord here{m_self.name, m_self.peers.str()};
            m_calls.count(StoreCall::Append, StoreTopic::Nodes, CallCause::Start);
            const auto appended =
                    co_await m_store.append(StateTopic::Nodes, std::move(here), std::nullopt);
            isRegistered = appended && appended->isAccepted;
        }
        co_await pause(NodesListDelay);
        m_calls.count(StoreCall::List, StoreTopic::Nodes, CallCause::Follow);
        const auto newest = co_await m_store.newest(StateTopic::Nodes);
        if (newest) {
            m_listener.nodesListed(endpointsOf(newest->items));
        }
        if (isRegistered && newest) {
            co_await pause(NodesListInterval);
        }
    }
}

void StateFollower::reportFleetKey(std::string key) const
{
    if (onFleetKey) {
        onFleetKey(std::move(key));
    }
}

asio::awaitable<void> StateFollower::findFleetKey()
{
    // The first node writes the key; the append of any later node is refused.
    co_await pause(spanOfSeconds(secondsOf(FleetKeyStartSpread) * uniform(m_random)));
    while (!m_stopped) {
        m_calls.count(StoreCall::List, StoreTopic::FleetKey, CallCause::Start);
        const auto newest = co_await m_store.newest(StateTopic::FleetKey);
        if (newest && !newest->items.empty()) {
            reportFleetKey(newest->items.front().value);
            co_return;
        }
        if (newest && newest->end == 0) {
            std::string key(crypto_generichash_KEYBYTES, '\0');
            randombytes_buf(key.data(), key.size());
            m_calls.count(StoreCall::Append, StoreTopic::FleetKey, CallCause::Start);
            KeyedRecord record{FleetKeyName, key};
            const auto appended =
                    co_await m_store.append(StateTopic::FleetKey, std::move(record), 0);
            if (appended && appended->isAccepted) {
                reportFleetKey(std::move(key));
                co_return;
            }
            continue;
        }
        co_await pause(FleetKeyRetryDelay);
    }
}

} // namespace vanilladyke
