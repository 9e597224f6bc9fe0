#pragma once

#include "vanilladyke/control/node_state.hpp"
#include "vanilladyke/gateway/admission_control.hpp"
#include "vanilladyke/gateway/engine_slots.hpp"
#include "vanilladyke/gateway/placer.hpp"
#include "vanilladyke/gateway/shared_request_quarantine.hpp"
#include "vanilladyke/policy/retry_budget.hpp"

#include <mutex>

namespace vanilladyke {

/// @brief The node's retry budgets. Thread-safe.
class SharedRetryBudgets
{
public:
    void countFirstTry(const ModelId &model, const CustomerId &customer, const RetryTerms &terms)
    {
        const std::lock_guard lock(m_mutex);
        m_budgets.countFirstTry(model, customer, terms, MonotonicClock::now());
    }

    [[nodiscard]] bool spend(const ModelId &model, const CustomerId &customer)
    {
        const std::lock_guard lock(m_mutex);
        return m_budgets.spend(model, customer);
    }

    [[nodiscard]] std::optional<TimePoint> availableAt(const ModelId &model,
                                                       const CustomerId &customer)
    {
        const std::lock_guard lock(m_mutex);
        return m_budgets.availableAt(model, customer, MonotonicClock::now());
    }

private:
    std::mutex m_mutex;
    RetryBudgets m_budgets;
};

/// @brief State shared by all requests of one node that compete for engines.
struct TrafficControl
{
    TrafficControl(const NodeState &node, Metrics &metrics)
        : placer(node.cacheView, node.inbox)
        , admission(node.fleet, engines, placer, node.inbox, metrics)
    {}

    EngineSlots engines;
    Placer placer;
    SharedRetryBudgets retries;
    SharedRequestQuarantine quarantine;
    AdmissionControl admission;
};

} // namespace vanilladyke
