#pragma once

#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/node/fresh_backends.hpp"
#include "vanilladyke/node/state_follower.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

/// Nodes that follow an in-memory store, for the tests of StateFollower and of its parts.
namespace vanilladyke::follower_fixture {

using std::chrono::milliseconds;

/// An in-memory store. Its records are "key=value"; "beat=…" is a server's heartbeat.
class MemoryStore : public RecordStore
{
public:
    explicit MemoryStore(asio::io_context &context)
        : m_context(context)
    {}

    asio::awaitable<Outcome<NewestRecords, StoreError>> newest(StateTopic topic) override
    {
        ++calls;
        if (isDown) {
            co_return failure(StoreError::Unavailable);
        }
        NewestRecords result;
        for (const std::string &record : topics[topic]) {
            result.items.push_back({record.substr(0, record.find('=')), record});
        }
        result.end = topics[topic].size();
        result.era = nameEra();
        co_return std::move(result);
    }

    asio::awaitable<Outcome<RecordPage, StoreError>> read(StateTopic topic, std::uint64_t from,
                                                          Duration wait) override
    {
        ++calls;
        if (wait > Duration::zero()) {
            ++waitsBegun;
            waits.insert(wait);
        } else if (failsPlainReads && topic == StateTopic::Operator) {
            co_return failure(StoreError::Unavailable);
        }
        const bool isThere = topics[topic].size() > from;
        const TimePoint until = MonotonicClock::now() + wait;
        ++waiting;
        const auto waitsOn = [&] {
            return omitsRecords
                   || (!isThere && (topics[topic].size() == from || missesWaitingCalls));
        };
        while (waitsOn() && MonotonicClock::now() < until) {
            asio::steady_timer timer(m_context, milliseconds(20));
            ErrorCode ignored;
            co_await timer.async_wait(redirectError(ignored));
        }
        --waiting;
        if (omitsRecords && wait > Duration::zero()) {
            co_return RecordPage{from, {}};
        }
        while (isUnresponsive) {
            asio::steady_timer timer(m_context, milliseconds(100));
            ErrorCode ignored;
            co_await timer.async_wait(redirectError(ignored));
        }
        if (isDown) {
            co_return failure(StoreError::Unavailable);
        }
        if (isExpired && topic == StateTopic::Operator) {
            isExpired = false;
            co_return failure(StoreError::Expired);
        }
        RecordPage page;
        page.era = nameEra();
        page.end = topics[topic].size();
        if (from > page.end) {
            co_return failure(StoreError::Expired);
        }
        page.records.assign(topics[topic].begin() + static_cast<std::ptrdiff_t>(from),
                            topics[topic].end());
        co_return std::move(page);
    }

    asio::awaitable<std::optional<AppendResult>> append(StateTopic topic, KeyedRecord record,
                                                        std::optional<std::uint64_t> at) override
    {
        ++calls;
        const bool isAccepted = !at || *at == topics[topic].size();
        if (isAccepted) {
            topics[topic].push_back(record.value);
        }
        const AppendResult result{isAccepted, topics[topic].size(), nameEra()};
        co_return result;
    }

    /// @brief The store's client records the era of each answer.
    std::uint64_t nameEra() const
    {
        static_cast<void>(known == nullptr || known->observed(era, BootClock::now()));
        return era;
    }

    std::map<StateTopic, std::vector<std::string>> topics;
    std::uint64_t era = 0;
    StoreEra *known = nullptr; ///< of the node that uses the store
    int calls = 0;
    bool isDown = false;
    bool isUnresponsive = false;     ///< reads stay without an answer
    bool missesWaitingCalls = false; ///< waiting calls return new records only at their end
    bool omitsRecords = false;       ///< waiting calls never return new records
    bool isExpired = false;          ///< the next read of the operator's records finds them deleted
    bool failsPlainReads = false;    ///< reads of the operator's records that don't wait fail
    int waiting = 0;                 ///< calls that are waiting now
    int waitsBegun = 0;              ///< calls with a wait so far
    std::set<Duration> waits;        ///< distinct waits of calls

private:
    asio::io_context &m_context;
};

class PlainTranslator : public StateTranslator
{
public:
    std::optional<KeyedRecord> split(std::string_view record) const override
    {
        return KeyedRecord{std::string(record.substr(0, record.find('='))), std::string(record)};
    }
    std::string join(const KeyedRecord &record) const override { return record.value; }
    void applyOperator(const KeyedRecord &, std::optional<Duration> age,
                       StateListener &listener) const override
    {
        listener.weightsAnnounced(ModelId("m"), 1, age);
    }
    bool applyBackend(const KeyedRecord &record, std::uint64_t /*era*/,
                      StateListener &listener) const override
    {
        BackendEntry entry;
        entry.id = EngineId(record.value);
        return record.key != "beat" && listener.backendRead(std::move(entry));
    }
};

class Listener : public StateListener
{
public:
    void configurationRead(RoutingConfig) override {}
    void weightsAnnounced(const ModelId &, std::uint64_t, std::optional<Duration> age) override
    {
        ++announced;
        writtenAt = age ? BootClock::now() - *age : TimePoint::min();
    }
    bool backendRead(BackendEntry entry) override
    {
        backends.push_back(entry.id.str());
        return true;
    }
    void backendRemoved(const EngineId &, StorePosition) override {}
    void backendsListed(const std::map<EngineId, bool> &, bool) override {}
    void backendsProved(TimePoint at) override
    {
        EXPECT_GE(at, backendsProvedAt);
        EXPECT_LE(at, BootClock::now());
        backendsProvedAt = at;
        onBackendsProved(at);
    }
    void backendsReadFailed(TimePoint at) override { onBackendsFailed(at); }
    void configurationProved(TimePoint at) override
    {
        EXPECT_GT(at, provedAt);
        EXPECT_LE(at, BootClock::now());
        provedAt = at;
    }
    void storeFailed() override { ++failures; }
    void nodesListed(std::vector<Endpoint>) override {}
    void softwareRecorded(SoftwareRecords records) override { software = std::move(records); }
    void keptCacheReset(const Endpoint &, KeptCacheState) override {}
    void keptCacheChanged(const Endpoint &, std::vector<KeptPart>) override {}

    int announced = 0;
    TimePoint writtenAt =
            TimePoint::min(); ///< earliest time of the last weights that were announced
    int failures = 0;
    std::optional<SoftwareRecords> software;
    std::vector<std::string> backends;
    TimePoint provedAt = TimePoint::min();
    TimePoint backendsProvedAt = TimePoint::min();
    std::function<void(TimePoint)> onBackendsProved = [](TimePoint) {};
    std::function<void(TimePoint)> onBackendsFailed = [](TimePoint) {};
};

/// A node that reads the store and a second one that asks it, on one thread.
class StateFollowerTest : public ::testing::Test
{
protected:
    static constexpr FollowLimits Terms{milliseconds(2000), milliseconds(1000)};

    StateFollowerTest()
        : m_store(m_context)
        , m_reader(m_context, m_store, m_translator, m_readerListener, m_calls, m_readerEra,
                   identity(1), Terms, 1)
        , m_asking(m_context, m_ownStore, m_translator, m_askingListener, m_calls, m_askingEra,
                   identity(2), Terms, 2)
    {}

    static NodeIdentity identity(std::uint64_t hash)
    {
        return {"n" + std::to_string(hash), hash, Centre, {}};
    }

    void start()
    {
        m_store.known = &m_readerEra;
        m_ownStore.known = &m_askingEra;
        m_ownStore.topics = m_store.topics;
        m_reader.start();
        m_asking.start();
        reportNodes();
        m_asking.setAskPeer(
                [this](Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)
                        -> asio::awaitable<std::optional<SharedUpdates>> {
                    m_asked.push_back(peer.port);
                    if (!m_answers) {
                        co_return std::nullopt;
                    }
                    ++m_answered;
                    SharedUpdates updates = m_reader.updatesSince(operatorNext, backendsNext);
                    if (!m_sendsConfiguration) {
                        updates.configuration.reset();
                    }
                    co_return updates;
                });
    }

    /// Reports enough nodes that the asking one doesn't rank first; all answer as the reader does.
    void reportNodes()
    {
        for (std::uint64_t node = 10; node < 50; ++node) {
            m_asking.nodeSeen(node, Centre, {"127.0.0.1", static_cast<std::uint16_t>(node)});
        }
    }

    /// Runs until the condition holds. @return false on time-out
    bool runUntil(const std::function<bool()> &condition)
    {
        constexpr Duration Longest = std::chrono::seconds(30);
        const TimePoint until = MonotonicClock::now() + Longest;
        while (!condition() && MonotonicClock::now() < until) {
            reportNodes();
            m_context.restart();
            m_context.run_one_for(milliseconds(100));
        }
        return condition();
    }

    /// Runs until the asking node has received an answer.
    bool awaitAnswer()
    {
        return runUntil([this] { return m_answered > 0; });
    }

    bool askingHasReceived(const std::string &backend) const
    {
        const auto &known = m_askingListener.backends;
        return std::find(known.begin(), known.end(), backend) != known.end();
    }

    static constexpr std::uint64_t Centre = 9;
    asio::io_context m_context;
    MemoryStore m_store;
    MemoryStore m_ownStore{m_context}; ///< the asking node's access to the same store
    PlainTranslator m_translator;
    Listener m_readerListener;
    Listener m_askingListener;
    Metrics m_metrics;
    StoreCalls m_calls{m_metrics};
    StoreEra m_readerEra;
    StoreEra m_askingEra;
    StateFollower m_reader;
    StateFollower m_asking;
    std::vector<int> m_asked;
    bool m_answers = true;
    bool m_sendsConfiguration = true;
    int m_answered = 0;
};

} // namespace vanilladyke::follower_fixture
