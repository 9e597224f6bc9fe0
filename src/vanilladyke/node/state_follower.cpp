#include "vanilladyke/node/state_follower.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/node/fleet_key.hpp"

namespace vanilladyke {

namespace {

/// More than the number of nodes that fail together before the others detect it.
constexpr std::size_t StandbyNodes = 9;
/// Compressed size that fits into one datagram. Each node reads a larger configuration from the
/// store itself.
constexpr std::size_t MaxSharedBytes = 16000;
/// Interval at which the era of the store is looked at, which the key was read in.
constexpr Duration KeyCheckInterval = std::chrono::milliseconds(500);

} // namespace

StateFollower::StateFollower(asio::io_context &context, RecordStore &store,
                             const StateTranslator &translator, StateListener &listener,
                             StoreCalls &calls, StoreEra &era, NodeIdentity self,
                             FollowLimits limits, std::uint64_t seed)
    : m_self(std::move(self))
    , m_context{context, store, translator, listener, calls, era, limits, Random(seed)}
    , m_sharing{StoreReaderSelection(m_self.hash, m_self.dataCentre), {}}
{}

void StateFollower::start()
{
    asio::co_spawn(m_context.io, m_operator.follow(), asio::detached);
    asio::co_spawn(m_context.io, m_backends.follow(), asio::detached);
    asio::co_spawn(m_context.io, followNodeList(m_context, m_self), asio::detached);
    asio::co_spawn(m_context.io, reportFleetKey(), asio::detached);
    asio::co_spawn(m_context.io, m_software.follow(), asio::detached);
    asio::co_spawn(m_context.io, followReader(), asio::detached);
}

void StateFollower::nodeSeen(std::uint64_t node, std::uint64_t dataCentre, const Endpoint &endpoint)
{
    m_sharing.readers.nodeSeen(node, dataCentre, endpoint, BootClock::now());
}

std::optional<std::size_t> StateFollower::standbyRank() const
{
    const std::size_t rank = m_sharing.readers.rank(BootClock::now());
    return rank < StandbyNodes ? std::optional(rank) : std::nullopt;
}

SharedUpdates StateFollower::updatesSince(std::uint64_t operatorNext,
                                          std::uint64_t backendsNext) const
{
    const TimePoint now = BootClock::now();
    return {m_operator.topic().relay.changesSince(operatorNext, MaxSharedBytes, now),
            m_backends.topic().relay.changesSince(backendsNext, MaxSharedBytes, now)};
}

asio::awaitable<void> StateFollower::followReader()
{
    while (!m_context.isStopped) {
        const double share = 0.75 + uniform(m_context.random) / 2;
        co_await m_context.pause(spanOfSeconds(secondsOf(ReadSharing::AskInterval) * share));
        const TimePoint requestedAt = BootClock::now();
        const auto reader = m_sharing.readers.readerToAsk(requestedAt);
        const FollowedTopic &configuration = m_operator.topic();
        const FollowedTopic &backends = m_backends.topic();
        if (!m_sharing.ask || !reader || !configuration.isListed || !backends.isListed) {
            continue;
        }
        const Endpoint endpoint = m_sharing.readers.endpointOf(*reader);
        const auto updates = co_await m_sharing.ask(endpoint, configuration.next, backends.next);
        if (!updates) {
            m_sharing.readers.backOff(*reader, BootClock::now());
            LogEvent("reader_doubted").field("reader", endpoint.str());
            continue;
        }
        if (isBehind(*updates)) {
            // The reader answers but doesn't reach the store. All nodes that kept asking it would
            // have to read the store themselves.
            m_sharing.readers.backOff(*reader, BootClock::now());
            LogEvent("reader_behind").field("reader", endpoint.str());
        } else {
            m_sharing.readers.answered(*reader);
        }
        tellEra(*updates);
        m_operator.applyAnswer(updates->configuration, requestedAt);
        m_backends.applyAnswer(updates->backends, requestedAt);
    }
}

asio::awaitable<void> StateFollower::reportFleetKey()
{
    std::string known;
    while (!m_context.isStopped) {
        const std::uint64_t before = m_context.era.view().era;
        const auto key = co_await findFleetKey(m_context, known);
        if (key && *key != known && onFleetKey) {
            onFleetKey(*key);
        }
        known = key.value_or(known);
        const std::uint64_t era = before > 0 ? before : m_context.era.view().era;
        // A key that the store has lost would be replaced by the next node that starts.
        while (!m_context.isStopped && m_context.era.view().era == era) {
            co_await m_context.pause(KeyCheckInterval);
        }
    }
}

void StateFollower::receivedOperatorNext(std::uint64_t era, Duration knownFor, std::uint64_t next)
{
    m_context.era.told(era, knownFor, BootClock::now());
    m_operator.receivedNext(era, next);
}

void StateFollower::tellEra(const SharedUpdates &updates)
{
    const TimePoint now = BootClock::now();
    if (updates.configuration) {
        m_context.era.told(updates.configuration->era, Duration::zero(), now);
    }
    if (updates.backends) {
        m_context.era.told(updates.backends->era, Duration::zero(), now);
    }
}

bool StateFollower::isBehind(const SharedUpdates &updates) const
{
    return m_operator.isTooOld(updates.configuration) || m_backends.isTooOld(updates.backends);
}

} // namespace vanilladyke
