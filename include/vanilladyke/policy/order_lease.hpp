#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/policy/store_era.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The lease for sending orders to engines: one holder at a time, agreed on through a log with
/// conditional appends.
///
/// Without it, two nodes that receive the same new weights both send orders, or a node that pauses
/// for seconds between a check and its order sends the order after another node has taken over.
///
/// Safety: a holder sends orders only within `validity` after it *sent* the last append that the
/// log acknowledged. Another node takes over only if it has *read* no new record for validity + gap
/// + margin, and its append is conditional on the offset that it read, so that a record in between
/// makes it fail. A record is read after it was appended, and appended after it was sent. The first
/// order of the new holder is therefore sent at least gap + margin after the last one of the old
/// holder, even if answers are lost or late. Times must come from a clock that counts suspension.
///
/// The store may come back from an older copy, in a new era; see store_era.hpp. The copy may lack a
/// claim, or end with a release that came before one. Its holder still sends orders for `validity`
/// after it sent the last append, which was before any node saw the new era. Therefore nobody
/// claims the lease within validity + gap + margin of that sight, but the one that holds it: it
/// writes its claim again. An append counts only if the log was read, and the append answered, in
/// one era. The fencing number is made of the era and the offset, so that it grows though offsets
/// go back.
///
/// A holder that has no more orders to send, or that shuts down, releases the lease, so that its
/// successor need not wait for the time-out. It sends no more orders. Each record lists the orders
/// of all holders within gap + margin, with their ages, so that the last record of the log tells
/// any process which engines to leave alone until then, however many holders came and went since.
/// How long a record has been in the log is unknown: its ages count from when it was first read.
/// A process that claims what an earlier process of its host held doesn't know what that one
/// ordered after its last record: it lists an order to any engine.
///
/// The store may delete records at any moment, and another build may write some that this one can't
/// read. A log that was written to and whose last record is unknown may be held by any host, which
/// may have ordered any engine.
namespace vanilladyke {

/// @brief Lower bound of the time since new weights were announced.
struct WeightsAge
{
    ModelId model;
    std::uint64_t version = 0;
    Duration age{};

    bool operator==(const WeightsAge &) const = default;
};

/// @brief An order that was sent before its record.
struct PastOrder
{
    EngineId engine;    ///< empty: it may have been any engine
    std::string holder; ///< host; empty: unknown
    Duration age{};     ///< lower bound

    bool operator==(const PastOrder &) const = default;
};

/// @brief State that a holder writes with each of its records.
struct LeaseUpdate
{
    std::vector<PastOrder> orders;   ///< by any holder, within gap + margin
    std::vector<WeightsAge> weights; ///< for nodes that started after the announcement

    bool operator==(const LeaseUpdate &) const = default;
};

/// @brief A record of the lease's log.
struct LeaseRecord
{
    std::string holder; ///< host; stays the same when the node restarts
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0; ///< distinguishes the appends of one incarnation
    bool isRelease = false;    ///< the holder sends no more orders
    LeaseUpdate update;

    /// @brief What a record that is deleted or can't be read may have said: some host has the lease
    /// and may have ordered any engine.
    [[nodiscard]] static LeaseRecord unknown() { return {{}, 0, 0, false, {{PastOrder{}}, {}}}; }

    bool operator==(const LeaseRecord &) const = default;
};

/// @brief An append that takes effect only if the log still ends at offset `at`.
struct LeaseAppend
{
    std::uint64_t at = 0;
    LeaseRecord record;
};

/// @brief Durations of the lease.
struct LeaseTerms
{
    Duration validity = std::chrono::milliseconds(1500);
    Duration renewAfter = std::chrono::milliseconds(600);
    Duration gap = std::chrono::milliseconds(3000);   ///< between orders of two successive holders
    Duration margin = std::chrono::milliseconds(600); ///< transfer time of an order to its engine
};

/// @brief The lease as one node sees it. Pure: performs no I/O.
class OrderLease
{
public:
    OrderLease(std::string self, std::uint64_t incarnation, LeaseTerms terms = {});

    /// @brief Takes the newest era of the store that this node knows.
    void eraKnown(const StoreEraView &era, TimePoint now);
    /// @brief Takes the result of a read of the log. One of another era than the newest is ignored.
    /// @param end offset after the last record
    /// @param last that record; none if it is unknown, or the log was never written to
    void logRead(std::uint64_t end, std::optional<LeaseRecord> last, TimePoint now,
                 std::uint64_t era = 0);
    /// @brief The append to send now; none if there is nothing to append or one is in progress.
    /// @param needsLease claims or renews the lease; if false, a held lease is released, and no
    /// order may be in progress
    /// @param claimDelay added before a claim, so that nodes don't claim at the same time
    /// @param weights written with the record
    [[nodiscard]] std::optional<LeaseAppend> nextAppend(bool needsLease, Duration claimDelay,
                                                        std::vector<WeightsAge> weights,
                                                        TimePoint now);
    /// @brief This node has sent the engine an order, or learned the result of one.
    void orderSent(const EngineId &engine, TimePoint now) { noteOrder(engine, m_self, now); }
    /// @brief Whether another holder may have sent the engine an order within the gap.
    [[nodiscard]] bool isInHandoverGap(const EngineId &engine, TimePoint now) const;
    /// @brief The last record that was read or appended.
    [[nodiscard]] const std::optional<LeaseRecord> &last() const { return m_last; }
    /// @brief The log acknowledged the append in progress. @param era of the answer
    void appended(std::uint64_t end, TimePoint now, std::uint64_t era = 0);
    /// @brief The append failed or its outcome is unknown: the log has to be read again.
    void appendUnresolved();

    /// @brief Whether this node holds the lease and may send an order at @p now.
    [[nodiscard]] bool mayOrder(TimePoint now) const { return m_holdsUntil && now < *m_holdsUntil; }
    /// @brief Fencing number; grows with each append of any holder, also from era to era.
    [[nodiscard]] std::uint64_t fence() const { return m_fence; }
    [[nodiscard]] bool needsRead() const { return !m_isLogCurrent; }
    [[nodiscard]] std::uint64_t end() const { return m_end; }

private:
    /// The era takes the high part of a number that JSON readers keep exact.
    static constexpr unsigned OffsetBits = 32;

    [[nodiscard]] std::uint64_t fenceAt(std::uint64_t end) const;
    void hold(std::uint64_t end);
    /// Whether a holder of an older era may still send orders.
    [[nodiscard]] bool mayBeHeldFromBefore(TimePoint now) const;
    void noteOrder(const EngineId &engine, const std::string &holder, TimePoint at);
    /// Takes the orders that the last record tells of.
    void noteOrdersOfLast();
    [[nodiscard]] bool isWithinGap(TimePoint orderedAt, TimePoint now) const;
    /// All orders that are within the gap; older ones are forgotten.
    [[nodiscard]] std::vector<PastOrder> recentOrders(TimePoint now);

    std::string m_self;
    std::uint64_t m_incarnation;
    LeaseTerms m_terms;
    StoreEraView m_era;
    std::uint64_t m_heldEra = 0; ///< in which this node last claimed the lease
    bool m_isLogCurrent = false; ///< the log was read since the last append of unknown outcome
    std::uint64_t m_end = 0;
    std::optional<LeaseRecord> m_last;
    TimePoint m_lastSeenAt;
    std::uint64_t m_attempt = 0;
    std::optional<LeaseAppend> m_pendingAppend;
    std::optional<LeaseAppend> m_uncertainAppend;
    TimePoint m_sentAt;            ///< of the newest append
    std::uint64_t m_appendEra = 0; ///< in which the log was read for it
    std::optional<TimePoint> m_holdsUntil;
    std::uint64_t m_fence = 0;
    /// Upper bound of the time of a holder's last order to an engine; see PastOrder.
    std::map<std::pair<EngineId, std::string>, TimePoint> m_orderedAt;
};

} // namespace vanilladyke
