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

/// Admission and queue of one node: the decisions of policy/admission.hpp, made for real requests.
namespace vanilladyke {

class AdmissionControl;

/// @brief A request's slot; ending the object gives it back. May outlive the request's thread, not
/// the AdmissionControl.
class SlotLease
{
public:
    SlotLease(AdmissionControl &control, ModelId model, QueueTicket ticket, Duration firstToken);
    SlotLease(const SlotLease &) = delete;
    SlotLease &operator=(const SlotLease &) = delete;
    ~SlotLease();

    /// @brief The first token came; teaches the predictions. Later calls change nothing.
    void firstTokenCame(TimePoint now);
    /// @brief The answer is complete, so that its time in the slot says something.
    void completed() { m_completed = true; }

private:
    AdmissionControl &m_control;
    ModelId m_model;
    QueueTicket m_ticket;
    Duration m_predictedFirstToken;
    TimePoint m_startedAt;
    bool m_firstTokenCame = false;
    bool m_completed = false;
};

/// @brief Decides whom the node serves, who waits and who is refused. Any thread.
class AdmissionControl
{
public:
    AdmissionControl(const FleetStore &fleet, EngineSlots &engines, const Placer &placer,
                     Inbox &inbox, Metrics &metrics);
    AdmissionControl(const AdmissionControl &) = delete;
    AdmissionControl &operator=(const AdmissionControl &) = delete;
    ~AdmissionControl();

    /// @brief Refuses at once, gives the request its slot, or puts it into the queue.
    [[nodiscard]] FilterVerdict admit(RequestContext &context);
    /// @brief Waits until a request in the queue has its slot or is given up.
    [[nodiscard]] FilterVerdict awaitSlot(RequestContext &context);
    /// @brief Refuses all that wait; the node is shutting down.
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
    void look(const Fleet &fleet, TimePoint now);
    void hearPeers(const Fleet &fleet);
    void tellPeers(TimePoint now);
    [[nodiscard]] std::vector<ModelId> waitingModels() const;
    void startWaiting(Admission &admission);
    void updateSlots(const ModelId &model, Admission &admission, const Fleet &fleet, TimePoint now);
    void giveUp(const std::vector<RefusedJob> &jobs);
    void settle(QueueTicket ticket, FilterVerdict verdict);
    void giveBack(const ModelId &model, QueueTicket ticket, bool completed);
    void learnFirstToken(const ModelId &model, Duration predicted, Duration measured);
    [[nodiscard]] Admission &admissionFor(const ModelId &model);

    const FleetStore &m_fleet;
    EngineSlots &m_engines;
    const Placer &m_placer;
    Inbox &m_inbox; ///< hears of the load here, for the peers
    Metrics &m_metrics;
    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    Random m_random;
    CustomerLimiter m_limiter;
    std::map<ModelId, Admission> m_models;
    Waiters m_waiters;
    std::uint64_t m_tickets = 0;
    bool m_woken = false;                ///< the dispatcher has something new to look at
    std::map<NodeId, TimePoint> m_heard; ///< peers' loads that the limiter has taken in
    TimePoint m_nextTelling;
    std::jthread m_dispatcher;
};

/// @brief Applies rate limits and predicted lateness.
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
