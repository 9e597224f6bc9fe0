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

/// Fair queue: who is served next when a model's slots are all taken.
///
/// Load patterns: a hot customer that fills the queue; long jobs among short ones; urgent work
/// beside bulk work. First come, first served would make everyone wait behind whoever sends most,
/// and a short check behind a row of long drafts.
///
/// Order: priority classes first; inside a class deficit round robin over customers, weighted by
/// the bundle and charged by predicted slot time, so that a customer with long jobs gets fewer of
/// them; inside a customer the earliest deadline first. A class that waits is owed FloorShare of
/// all work that is served from other classes, and is served once that covers its next job: so no
/// class starves, and urgent work keeps four fifths even with both others waiting.
///
/// Rounds of the round robin in which nobody can afford its next job are skipped by arithmetic:
/// customers are kept ordered by the round in which they can. A step is O(log n) for any job cost,
/// and the quantum needs no tuning; it only sets how finely turns are cut.
///
/// The queue is bounded, because every waiting request holds a thread of its node. A customer may
/// have as many waiting as there is free room: a hot one gets half of the queue at most, two hot
/// ones a third each, and there is room for a customer that comes later.
namespace vanilladyke {

/// @brief Names one waiting request.
enum class QueueTicket : std::uint64_t {};

/// @brief A request that waits for a slot.
struct QueuedJob
{
    QueueTicket ticket{};
    CustomerId customer;
    double weight = 1.0;
    Priority priority = Priority::Normal;
    Duration cost{};       ///< predicted time in a slot
    TimePoint latestStart; ///< past this its first token would miss its deadline
};

/// @brief Work that is promised a place: of the customer in question, and of all.
struct ExpectedWork
{
    Duration ofCustomer{};
    Duration ofAll{};
};

/// @brief The waiting requests of one model.
class FairQueue
{
public:
    /// @brief Part of all served work that a waiting class is owed.
    static constexpr double FloorShare = 0.1;
    /// @brief Work of a customer with weight 1 in one round: about one short request.
    static constexpr Duration Quantum = std::chrono::milliseconds(100);

    explicit FairQueue(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// @return false if the queue, or the customer's part of it, is full
    [[nodiscard]] bool push(const QueuedJob &job);
    /// @brief Takes out the next job to be served.
    [[nodiscard]] std::optional<QueuedJob> pop();
    /// @brief Takes out a job whose caller has left. @return false if it is not here
    bool remove(QueueTicket ticket);
    /// @brief Takes out every job that can no longer start in time.
    [[nodiscard]] std::vector<QueuedJob> expire(TimePoint now);

    /// @brief Work that will be served before the job, were it pushed now; an upper bound as long
    /// as no class above its own gets more.
    /// @param expected work that is not here yet but has precedence
    [[nodiscard]] Duration workAhead(const QueuedJob &job, const ExpectedWork &expected = {}) const;
    /// @brief Every waiting job with the work ahead of it, when the whole queue is judged anew.
    [[nodiscard]] std::vector<std::pair<QueuedJob, Duration>> outlook() const;
    /// @brief When the next job has to start at the latest; none if nothing waits.
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
    struct Line
    {
        std::set<ByDeadline> jobs;
        double weight = 1.0;
        Duration work{};
        Duration deficit{};      ///< may be spent in round roundAt
        std::uint64_t roundAt{}; ///< round up to which the deficit was filled
        std::uint64_t turnRound{};
        std::uint64_t turnOrder{}; ///< 0 while it has no turn
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
        std::unordered_map<CustomerId, Line> lines;
        std::set<Turn> turns;
        std::uint64_t round = 0;
        double weight = 0; ///< of all lines
        Duration work{};
        double owed = 0; ///< seconds of work that the floor share owes it
    };

    [[nodiscard]] std::optional<std::size_t> nextClass() const;
    [[nodiscard]] const QueuedJob &headOf(const Line &line) const;
    [[nodiscard]] static Duration fairWork(const PriorityClass &of, const QueuedJob &job,
                                           Duration own, Duration all);
    [[nodiscard]] Duration withOtherClasses(const QueuedJob &job, Duration ahead) const;
    void schedule(PriorityClass &of, const CustomerId &customer, Line &line);
    void charge(std::size_t served, Duration cost);
    QueuedJob takeOut(QueueTicket ticket);

    std::size_t m_capacity;
    std::unordered_map<QueueTicket, QueuedJob> m_jobs;
    std::set<ByDeadline> m_deadlines;
    std::array<PriorityClass, Classes> m_classes;
    std::uint64_t m_order = 0;
};

} // namespace vanilladyke
