#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The right to give orders to engines: one node at a time, agreed on through a log with
/// conditional appends.
///
/// What goes wrong without it: two nodes see the same new weights and both order; or a node pauses
/// for seconds between a check and its order, and orders after another one took over.
///
/// Why it is safe: a holder orders only within `validity` after it *sent* the last append that the
/// log acknowledged. Another node takes over only when it has *seen* no new record for validity +
/// gap + margin, and its append names the offset that it saw, so that a record in between defeats
/// it. A record is seen after it was appended, and appended after it was sent; so the first order
/// of the new holder comes at least gap + margin after the last one of the old holder, whatever
/// answers were lost or late. Points in time must come from a clock that counts suspension.
///
/// A holder that is done, or stops by plan, releases the lease, so that its successor need not
/// wait: it orders no more, and its last record names the engines that it ordered within the gap;
/// only those have to rest for the gap after the release was seen.
namespace vanilladyke {

/// @brief How long ago new weights were named, at the least.
struct WeightsAge
{
    ModelId model;
    std::uint64_t version = 0;
    Duration age{};

    bool operator==(const WeightsAge &) const = default;
};

/// @brief What a holder tells with each of its records.
struct LeaseNews
{
    std::vector<EngineId> ordered;   ///< engines that got an order within the gap
    std::vector<WeightsAge> weights; ///< for nodes that started later and can't know

    bool operator==(const LeaseNews &) const = default;
};

/// @brief A record of the lease's log.
struct LeaseRecord
{
    std::string holder; ///< machine; its restarts are the same holder
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0; ///< tells one append of an incarnation from the next
    bool isRelease = false;    ///< the holder gives no orders from now on
    LeaseNews news;

    bool operator==(const LeaseRecord &) const = default;
};

/// @brief An append that takes effect only if the log still ends at `at`.
struct LeaseAppend
{
    std::uint64_t at = 0;
    LeaseRecord record;
};

/// @brief Spans of the lease.
struct LeaseTerms
{
    Duration validity = std::chrono::milliseconds(1500);
    Duration renewAfter = std::chrono::milliseconds(600);
    Duration gap = std::chrono::milliseconds(3000);   ///< between orders of two holders
    Duration margin = std::chrono::milliseconds(600); ///< an order's way to its engine
};

/// @brief One node's part in the lease. Pure.
class OrderLease
{
public:
    OrderLease(std::string self, std::uint64_t incarnation, LeaseTerms terms = {});

    /// @brief The log was read. @param end offset behind the last record @param last that record
    void sawLog(std::uint64_t end, const std::optional<LeaseRecord> &last, TimePoint now);
    /// @brief What to append now, if anything; none while an append is under way.
    /// @param wantsToOrder else a lease that is held is released; no order may be under way then
    /// @param patience longer wait before a claim, so that nodes don't claim all at once
    /// @param news what a record that is appended now is to tell
    [[nodiscard]] std::optional<LeaseAppend> nextAppend(bool wantsToOrder, Duration patience,
                                                        const LeaseNews &news, TimePoint now);
    /// @brief Whether a former holder's last order to the engine may be less than the gap ago.
    [[nodiscard]] bool isResting(const EngineId &engine, TimePoint now) const;
    /// @brief The last record that is known.
    [[nodiscard]] const std::optional<LeaseRecord> &last() const { return m_last; }
    /// @brief The log took the append that is under way.
    void appended(std::uint64_t end, TimePoint now);
    /// @brief The log refused it, or nobody knows: the log has to be read again.
    void appendInDoubt();

    /// @brief Whether an order may be sent at this moment.
    [[nodiscard]] bool mayOrder(TimePoint now) const { return m_holdsUntil && now < *m_holdsUntil; }
    /// @brief Grows with each append of any holder.
    [[nodiscard]] std::uint64_t fence() const { return m_fence; }
    [[nodiscard]] bool needsRead() const { return !m_isCurrent; }
    [[nodiscard]] std::uint64_t end() const { return m_end; }

private:
    std::string m_self;
    std::uint64_t m_incarnation;
    LeaseTerms m_terms;
    bool m_isCurrent = false; ///< the log was read and nothing is in doubt since
    std::uint64_t m_end = 0;
    std::optional<LeaseRecord> m_last;
    TimePoint m_lastSeenAt;
    std::uint64_t m_attempt = 0;
    std::optional<LeaseAppend> m_underWay;
    std::optional<LeaseAppend> m_inDoubt;
    TimePoint m_sentAt; ///< of the newest append
    std::optional<TimePoint> m_holdsUntil;
    std::uint64_t m_fence = 0;
    std::vector<EngineId> m_resting; ///< of a former holder that released the lease
    TimePoint m_restUntil;
};

} // namespace vanilladyke
