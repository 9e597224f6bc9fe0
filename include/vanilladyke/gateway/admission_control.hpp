#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/gateway/engine_slots.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/gateway/placer.hpp"
#include "vanilladyke/policy/admission.hpp"
#include "vanilladyke/policy/customer_share.hpp"
#include "vanilladyke/policy/placement.hpp"

#include <condition_variable>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

/// Admission control and request queue of one node, built on the decisions of policy/admission.hpp.
namespace vanilladyke {

class AdmissionControl;

/// @brief A request's slot, released by the destructor. May outlive the request's thread, but not
/// the AdmissionControl.
class SlotLease
{
public:
    SlotLease(AdmissionControl &control, ModelId model, QueueTicket ticket, Duration firstToken);
    SlotLease(const SlotLease &) = delete;
    SlotLease &operator=(const SlotLease &) = delete;
    ~SlotLease();

    /// @brief Records the time of the first token for the predictions. Later calls have no effect.
    void recordFirstToken(TimePoint now);
    /// @brief Marks the answer as complete, so that its time in the slot counts as a measurement.
    void markCompleted() { m_completed = true; }

private:
    AdmissionControl &m_control;
    ModelId m_model;
    QueueTicket m_ticket;
    Duration m_predictedFirstToken;
    TimePoint m_startedAt;
    bool m_firstTokenSeen = false;
    bool m_completed = false;
};

/// @brief Decides which requests the node starts, queues or refuses. Thread-safe.
class AdmissionControl
{
public:
    AdmissionControl(const FleetStore &fleet, EngineSlots &engines, const Placer &placer,
                     Inbox &inbox, Metrics &metrics);
    AdmissionControl(const AdmissionControl &) = delete;
    AdmissionControl &operator=(const AdmissionControl &) = delete;
    ~AdmissionControl();

    /// @brief Refuses the request, assigns it a slot, or enqueues it.
    [[nodiscard]] FilterVerdict admit(RequestContext &context);
    /// @brief Blocks until a queued request has a slot or is refused.
    [[nodiscard]] FilterVerdict awaitSlot(RequestContext &context);
    /// @brief Refuses all queued requests because the node is shutting down.
    void refuseWaiting();

private:
    friend class SlotLease;

    using Waiters = std::unordered_map<QueueTicket, std::promise<FilterVerdict>>;

    struct Forecast
    {
        Duration firstToken{};
        Duration slotTime{};
        Duration prefill{};
    };

    [[nodiscard]] FilterVerdict checkRate(const RequestContext &context, const Customer &customer);
    [[nodiscard]] Forecast forecast(const RequestContext &context, const Fleet &fleet);
    [[nodiscard]] AdmissionDecision decide(RequestContext &context, const Customer &customer);
    void dispatch(const std::stop_token &stop);
    void refreshFleet(const Fleet &fleet, TimePoint now);
    void applyPeerDemand(const Fleet &fleet);
    void reportLoad(TimePoint now);
    [[nodiscard]] std::vector<ModelId> waitingModels() const;
    void startQueued(Admission &admission);
    void updateSlots(const ModelId &model, Admission &admission, const Fleet &fleet, TimePoint now);
    void refuseJobs(const std::vector<RefusedJob> &jobs);
    void resolveWaiter(QueueTicket ticket, FilterVerdict verdict);
    void releaseSlot(const ModelId &model, QueueTicket ticket, bool completed);
    void learnFirstToken(const ModelId &model, Duration predicted, Duration measured);
    [[nodiscard]] Admission &admissionFor(const ModelId &model);

    const FleetStore &m_fleet;
    EngineSlots &m_engines;
    const Placer &m_placer;
    Inbox &m_inbox; ///< receives this node's load for the peers
    Metrics &m_metrics;
    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    Random m_random;
    CustomerLimiter m_limiter;
    std::map<ModelId, Admission> m_models;
    Waiters m_waiters;
    std::uint64_t m_tickets = 0;
    bool m_wakeRequested = false;                 ///< wakes the dispatcher before its next time-out
    std::map<NodeId, TimePoint> m_lastPeerUpdate; ///< load updates applied to the limiter
    TimePoint m_nextLoadReport;
    std::jthread m_dispatcher;
};

/// @brief Applies rate limits and refuses requests predicted to miss their deadline.
struct Admit
{
    AdmissionControl *control;
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const
    {
        return control->admit(context);
    }
};

/// @brief Holds a request until it has a slot.
struct Queue
{
    AdmissionControl *control;
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const
    {
        return control->awaitSlot(context);
    }
};

} // namespace vanilladyke
