#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/refusal.hpp"
#include "vanilladyke/policy/fair_queue.hpp"
#include "vanilladyke/policy/return_reservations.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

/// Admission control: a request gets a slot at once, waits for one, or is refused at once.
///
/// Load pattern: more work than the engines can do, in a burst or for hours. Without admission
/// control all requests wait in a growing queue until most answers miss their deadlines, and the
/// engines compute answers that no caller waits for any more. Here a request whose predicted first
/// token would be late is refused as soon as that is predicted: on arrival, again whenever capacity
/// is lost, and at the latest when its latest start time has passed. In each case nothing was sent
/// to an engine, so "not run" is correct.
///
/// The predicted wait is the time until the next slot is released, taken from the predicted ends of
/// the running requests, plus the backlog ahead divided by the number of slots. The backlog ahead
/// comes from the fair queue and therefore depends on the customer. The retry time of a refused
/// request is when the backlog, including all return reservations made before, will have shrunk by
/// as much as the request would have been late, plus one mean job; see return_reservations.hpp.
///
/// Constants: predicted slot times are corrected by the measured ratio, averaged over about twenty
/// requests (CorrectionRate). First-token times scatter, so a mean would admit many requests whose
/// first token is late. The time allowed for a first token is therefore WaitFactor times the
/// prediction plus a learned margin. The factor is needed because the error of a predicted wait
/// grows with the wait: other nodes send to the same engines at the same moment. The margin tracks
/// the 99th percentile of the remaining error (a step up weighs 99 steps down). It lies between
/// MinMargin, which covers connecting and one step of an engine's batch, and MaxMargin.
/// docs/DECISIONS.md has the measurement.
namespace vanilladyke {

/// @brief The properties of a request that the decision depends on.
struct AdmissionRequest
{
    QueueTicket ticket{};
    CustomerId customer;
    double weight = 1.0;
    Priority priority = Priority::Normal;
    Duration slotTime{};   ///< predicted: from the start until the slot is released
    Duration firstToken{}; ///< predicted: from the start to the first token, at present load
    TimePoint deadline;    ///< of the first token
    Duration prefill{};    ///< predicted: the part of it that an idle engine needs, too
};

enum class AdmissionVerdict { Start, Wait, Refuse };

/// @brief A decision with the values that it is based on, for the log.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    RefusalReason reason = RefusalReason::TooLate; ///< if refused
    std::optional<TimePoint> retryAt;              ///< if refused; none if a retry cannot succeed
    Duration wait{};                               ///< predicted time in the queue
    TimePoint firstToken;                          ///< predicted, margin included
    std::size_t waiting = 0;                       ///< requests in the queue
    std::uint32_t slots = 0;
    bool returned = false; ///< the request claimed a return reservation
};

/// @brief A waiting request that was refused, and when its caller may retry.
struct RefusedJob
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
    static constexpr Duration MinMargin = std::chrono::milliseconds(50);
    static constexpr Duration MaxMargin = std::chrono::seconds(2);

    explicit Admission(std::size_t queueCapacity)
        : m_queue(queueCapacity)
    {}

    /// @brief Decides on a new request; on Start its slot is taken, on Wait it is in the queue.
    [[nodiscard]] AdmissionDecision decide(const AdmissionRequest &request, TimePoint now);
    /// @brief Takes the next waiting request and a slot for it, if a slot is free.
    [[nodiscard]] std::optional<QueuedJob> startNext(TimePoint now);
    /// @brief Removes a waiting request whose caller has disconnected.
    bool leave(QueueTicket ticket) { return m_queue.remove(ticket); }
    /// @brief Releases the slot of a finished request and updates the correction of slot times.
    void release(QueueTicket ticket, TimePoint now);
    /// @brief Releases the slot of a request that was not served to its end; the correction stays.
    void releaseUnused(QueueTicket ticket);
    /// @brief Updates the margin with a measured time from start to first token.
    void observeFirstToken(Duration predicted, Duration measured);

    /// @brief Sets how many slots this node may use for the model.
    /// @return waiting requests that are refused because the loss of slots makes them late
    [[nodiscard]] std::vector<RefusedJob> setSlots(std::uint32_t slots, TimePoint now);
    /// @brief Refuses every waiting request whose latest start time has passed.
    [[nodiscard]] std::vector<RefusedJob> expire(TimePoint now);
    /// @brief Removes all waiting requests.
    [[nodiscard]] std::vector<QueuedJob> clear();
    /// @brief When expire() will next remove a request; none if the queue is empty.
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
    [[nodiscard]] Duration waitAfter(Duration work, TimePoint now) const;
    [[nodiscard]] Duration untilNextSlot(TimePoint now) const;
    [[nodiscard]] Duration meanJob() const;
    [[nodiscard]] ExpectedWork expectedReturns(const CustomerId &customer) const;
    [[nodiscard]] TimePoint reserveReturn(const QueuedJob &job, TimePoint at);
    [[nodiscard]] RefusedJob refuse(const QueuedJob &job, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> retryTimeOfLate(const QueuedJob &job,
                                                           const AdmissionRequest &request,
                                                           TimePoint firstToken, TimePoint now);
    void occupy(const QueuedJob &job, TimePoint now);

    FairQueue m_queue;
    ReturnReservations m_returns;
    std::unordered_map<QueueTicket, Running> m_running;
    std::multiset<TimePoint> m_predictedEnds; ///< predicted, of all running requests
    Duration m_runningWork{};                 ///< predicted, of all running requests
    std::uint32_t m_slots = 0;
    double m_correction = 1.0;
    Duration m_margin = MinMargin;
};

} // namespace vanilladyke
