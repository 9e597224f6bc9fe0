#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle.hpp"
#include "vanilladyke/model/ids.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

/// Fair queue: the order in which requests are served when all slots of a model are taken.
///
/// Load patterns: a hot customer that fills the queue; long jobs among short ones; urgent work
/// beside bulk work. With first come, first served, every customer would wait behind the one that
/// sends most, and a short check behind a series of long drafts.
///
/// Order: priority classes first. Inside a class, deficit round robin over customers, weighted by
/// the bundle and charged by predicted slot time, so that a customer with long jobs gets fewer of
/// them. Inside a customer, the earliest deadline first. A waiting class earns a credit of
/// FloorShare of all work that is served from other classes, and is served once the credit covers
/// its next job. So no class starves, and urgent work keeps four fifths of the capacity even when
/// both other classes wait.
///
/// Rounds in which no customer can afford its next job are not iterated but computed: customers are
/// kept ordered by the round in which they can afford it. An operation takes O(log n) for any job
/// cost, and the quantum only sets the granularity of turns.
///
/// The queue is bounded because every waiting request holds a thread of its node. A customer may
/// have as many requests waiting as there is free room: one hot customer gets at most half of the
/// queue, two get a third each, and room remains for a customer that comes later.
namespace vanilladyke {

/// @brief Identifies one waiting request.
enum class QueueTicket : std::uint64_t {};

/// @brief A request that waits for a slot.
struct QueuedJob
{
    QueueTicket ticket{};
    CustomerId customer;
    double weight = 1.0;
    Priority priority = Priority::Normal;
    Duration cost{};       ///< predicted time in a slot
    TimePoint latestStart; ///< a later start makes the first token miss its deadline
};

/// @brief Work that has a reservation: of the customer in question, and of all customers.
struct ExpectedWork
{
    Duration ofCustomer{};
    Duration ofAll{};
};

/// @brief The waiting requests of one model.
class FairQueue
{
public:
    /// @brief Fraction of all work served from other classes that a waiting class is credited with.
    static constexpr double FloorShare = 0.1;
    /// @brief Work that a customer of weight 1 is granted per round: about one short request.
    static constexpr Duration Quantum = std::chrono::milliseconds(100);

    explicit FairQueue(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// @return false if the queue, or the customer's share of it, is full
    [[nodiscard]] bool push(const QueuedJob &job);
    /// @brief Removes the next job to be served.
    [[nodiscard]] std::optional<QueuedJob> pop();
    /// @brief Removes a job whose caller has disconnected. @return false if it is not queued
    bool remove(QueueTicket ticket);
    /// @brief Removes every job that can no longer start in time.
    [[nodiscard]] std::vector<QueuedJob> expire(TimePoint now);

    /// @brief Backlog ahead of the job if it were pushed now. An upper bound as long as no higher
    /// class receives more work.
    /// @param expected work that is not queued yet but has precedence
    [[nodiscard]] Duration backlogAhead(const QueuedJob &job,
                                        const ExpectedWork &expected = {}) const;
    /// @brief Every waiting job with the backlog ahead of it, for re-evaluating the whole queue.
    [[nodiscard]] std::vector<std::pair<QueuedJob, Duration>> backlogPerJob() const;
    /// @brief The earliest of the latest start times; none if the queue is empty.
    [[nodiscard]] std::optional<TimePoint> firstLatestStart() const;

    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }
    [[nodiscard]] bool empty() const { return m_jobs.empty(); }
    [[nodiscard]] Duration work() const;

private:
    static constexpr std::size_t Classes = 3;

    struct ByDeadline
    {
        TimePoint latestStart;
        QueueTicket ticket{};
        auto operator<=>(const ByDeadline &) const = default;
    };

    /// A customer's waiting jobs in one class.
    struct CustomerQueue
    {
        std::set<ByDeadline> jobs;
        double weight = 1.0;
        Duration work{};
        Duration deficit{};      ///< slot time that may be spent in round roundAt
        std::uint64_t roundAt{}; ///< round up to which the deficit was filled
        std::uint64_t turnRound{};
        std::uint64_t turnOrder{}; ///< 0 while no turn is scheduled
    };

    struct Turn
    {
        std::uint64_t round = 0;
        std::uint64_t order = 0;
        CustomerId customer;
        auto operator<=>(const Turn &) const = default;
    };

    struct PriorityClass
    {
        std::unordered_map<CustomerId, CustomerQueue> customers;
        std::set<Turn> turns;
        std::uint64_t round = 0;
        double weight = 0; ///< of all customers in the class
        Duration work{};
        double credit = 0; ///< unspent credit from FloorShare, in seconds of work
    };

    [[nodiscard]] std::optional<std::size_t> nextClass() const;
    [[nodiscard]] const QueuedJob &headOf(const CustomerQueue &queue) const;
    [[nodiscard]] static Duration fairWork(const PriorityClass &priorityClass, const QueuedJob &job,
                                           Duration own, Duration all);
    [[nodiscard]] Duration addOtherClasses(const QueuedJob &job, Duration ahead) const;
    void schedule(PriorityClass &priorityClass, const CustomerId &customer, CustomerQueue &queue);
    void charge(std::size_t served, Duration cost);
    QueuedJob removeJob(QueueTicket ticket);

    std::size_t m_capacity;
    std::unordered_map<QueueTicket, QueuedJob> m_jobs;
    std::set<ByDeadline> m_deadlines;
    std::array<PriorityClass, Classes> m_classes;
    std::uint64_t m_order = 0;
};

} // namespace vanilladyke
