#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/refusal.hpp"
#include "vanilladyke/policy/fair_queue.hpp"
#include "vanilladyke/policy/return_book.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

/// Admission: whether a request gets a slot at once, waits for one, or is refused at once.
///
/// Load pattern: more work than the engines can do, in a burst or for hours. Without admission
/// everybody waits in a growing queue until most answers come after their deadlines, and the
/// engines spend themselves on answers that nobody waits for any more. Here a request whose
/// predicted first token would be late is refused as soon as that is known: on arrival, again
/// whenever capacity is lost, and at the latest when its last chance to start has passed. All of
/// that is before anything was sent, so "not run" is true.
///
/// The wait is predicted as the time until the next slot is given back, by the predicted ends of
/// what runs, and then work ahead / slots. Work ahead comes from the fair queue and so depends on
/// the customer. The time to come back is when the backlog, with all returns promised before, will
/// have shrunk by as much as the request would have been late, and one mean job more; see
/// return_book.hpp.
///
/// Grounds for the figures: predictions of slot time are corrected by the measured ratio, averaged
/// over some twenty requests (CorrectionRate). First tokens scatter, so that a mean would admit
/// many that come late. What is allowed for a first token is therefore WaitFactor times the
/// prediction, because the error of a wait grows with the wait (other nodes send to the same
/// engines at the same moment), and a learned margin, which follows the 99th percentile of what is
/// still missing (a step up weighs 99 steps down), between LeastMargin, for connecting and one step
/// of an engine's batch, and MostMargin. docs/DECISIONS.md has the measurement.
namespace vanilladyke {

/// @brief A request as admission sees it.
struct AdmissionRequest
{
    QueueTicket ticket{};
    CustomerId customer;
    double weight = 1.0;
    Priority priority = Priority::Normal;
    Duration slotTime{};   ///< predicted: from the start until the slot is given back
    Duration firstToken{}; ///< predicted: from the start to the first token, as engines are now
    TimePoint deadline;    ///< of the first token
    Duration prefill{};    ///< predicted: the part of it that an idle engine would need too
};

enum class AdmissionVerdict { Start, Wait, Refuse };

/// @brief A decision with the figures that it rests on, so that it can be logged.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    RefusalReason reason = RefusalReason::TooLate; ///< if refused
    std::optional<TimePoint> retryAt;              ///< if refused; none if coming back is no use
    Duration wait{};                               ///< predicted time in the queue
    TimePoint firstToken;                          ///< predicted, margin included
    std::size_t waiting = 0;                       ///< requests in the queue
    std::uint32_t slots = 0;
    bool returned = false; ///< the caller came back when it was told to
};

/// @brief A waiting request that was given up, and when its caller may come back.
struct GivenUp
{
    QueuedJob job;
    RefusalReason reason = RefusalReason::TooLate;
    std::optional<TimePoint> retryAt;
};

/// @brief Slots and queue of one model on one node.
class Admission
{
public:
    static constexpr double CorrectionRate = 0.05;
    static constexpr double WaitFactor = 1.75;
    static constexpr Duration LeastMargin = std::chrono::milliseconds(50);
    static constexpr Duration MostMargin = std::chrono::seconds(2);

    explicit Admission(std::size_t queueCapacity)
        : m_queue(queueCapacity)
    {}

    /// @brief Decides on a new request; on Start its slot is taken, on Wait it is in the queue.
    [[nodiscard]] AdmissionDecision decide(const AdmissionRequest &request, TimePoint now);
    /// @brief The next waiting request, if a slot is free; the slot is taken.
    [[nodiscard]] std::optional<QueuedJob> startNext(TimePoint now);
    /// @brief The caller of a waiting request has left.
    bool leave(QueueTicket ticket) { return m_queue.remove(ticket); }
    /// @brief Gives back a slot whose request has ended, and learns from how long it took.
    void release(QueueTicket ticket, TimePoint now);
    /// @brief Gives back a slot whose request was not served to its end: nothing to learn.
    void releaseUnused(QueueTicket ticket);
    /// @brief Takes in how long a first token took after the start.
    void observeFirstToken(Duration predicted, Duration measured);

    /// @brief Sets how many slots this node may use for the model, and gives up those that the
    /// loss of slots makes late.
    [[nodiscard]] std::vector<GivenUp> setSlots(std::uint32_t slots, TimePoint now);
    /// @brief Gives up every request whose last chance to start has passed.
    [[nodiscard]] std::vector<GivenUp> expire(TimePoint now);
    /// @brief Takes out all that wait.
    [[nodiscard]] std::vector<QueuedJob> clear();
    /// @brief When expire() will next have something to do.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const { return m_queue.firstLatestStart(); }

    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    [[nodiscard]] std::size_t busy() const { return m_running.size(); }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] Duration margin() const { return m_margin; }

private:
    struct Running
    {
        TimePoint startedAt;
        Duration predicted{};
        TimePoint predictedEnd;
    };

    [[nodiscard]] QueuedJob jobOf(const AdmissionRequest &request) const;
    [[nodiscard]] Duration allowedFor(Duration firstToken) const;
    [[nodiscard]] Duration waitBehind(Duration work, TimePoint now) const;
    [[nodiscard]] Duration untilNextSlot(TimePoint now) const;
    [[nodiscard]] Duration meanJob() const;
    [[nodiscard]] ExpectedWork expectedReturns(const CustomerId &customer) const;
    [[nodiscard]] TimePoint promiseReturn(const QueuedJob &job, TimePoint at);
    [[nodiscard]] GivenUp giveUp(const QueuedJob &job, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> returnOfLate(const QueuedJob &job,
                                                        const AdmissionRequest &request,
                                                        TimePoint firstToken, TimePoint now);
    void occupy(const QueuedJob &job, TimePoint now);

    FairQueue m_queue;
    ReturnBook m_returns;
    std::unordered_map<QueueTicket, Running> m_running;
    std::multiset<TimePoint> m_ends; ///< predicted, of all that run
    Duration m_runningWork{};        ///< predicted, of all that run
    std::uint32_t m_slots = 0;
    double m_correction = 1.0;
    Duration m_margin = LeastMargin;
};

} // namespace vanilladyke
