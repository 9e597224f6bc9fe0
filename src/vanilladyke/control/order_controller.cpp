#include "vanilladyke/control/order_controller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <nlohmann/json.hpp>

namespace vanilladyke {

namespace {

constexpr Duration AnswerTimeout = std::chrono::seconds(1);
constexpr int Ok = 200;

void logOutcome(const EngineOrder &order, const Outcome<HttpAnswer, HttpFailure> &answer)
{
    const bool accepted = answer && answer->status == Ok;
    LogEvent event("order", accepted ? Severity::Info : Severity::Warning);
    event.field("engine", order.engine.str())
            .field("fencing", order.fencing)
            .field("sequence", order.sequence)
            .field("taken", accepted);
    if (!answer) {
        event.field("reason", answer.error().detail);
    } else if (!accepted) {
        event.field("status", answer->status).field("reason", answer->body);
    }
}

} // namespace

std::string writeOrder(const EngineOrder &order)
{
    nlohmann::json models = nlohmann::json::array();
    for (const HeldModel &model : order.models) {
        nlohmann::json adapters = nlohmann::json::array();
        for (const AdapterId &adapter : model.adapters) {
            adapters.push_back(adapter.str());
        }
        models.push_back({{"id", model.model.str()},
                          {"weights", model.weights.str()},
                          {"adapters", std::move(adapters)}});
    }
    return nlohmann::json{{"fencing", order.fencing},
                          {"sequence", order.sequence},
                          {"models", std::move(models)},
                          {"role", order.role == EngineRole::Serving ? "serving" : "draining"}}
            .dump();
}

OrderSender::OrderSender(BackendTls tls)
    : m_tls(std::move(tls))
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{}

void OrderSender::send(EngineOrder order)
{
    {
        const std::lock_guard lock(m_mutex);
        m_orders.push_back(std::move(order));
    }
    m_filled.notify_one();
}

void OrderSender::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::unique_lock lock(m_mutex);
        if (!m_filled.wait(lock, stop, [this] { return !m_orders.empty(); })) {
            return;
        }
        const EngineOrder order = std::move(m_orders.front());
        m_orders.pop_front();
        lock.unlock();
        HttpCaller engine(order.endpoint, m_tls);
        logOutcome(order, engine.post("/v1/orders", writeOrder(order), "application/json",
                                      MonotonicClock::now() + AnswerTimeout));
    }
}

OrderController::OrderController(NodeId self, const EngineController &engines, OrderSender &sender)
    : m_engines(engines)
    , m_sender(sender)
    , m_plan(std::move(self))
{}

void OrderController::contribute(Fleet &fleet, TimePoint now)
{
    if (!fleet.bundle || fleet.leaving) {
        return;
    }
    std::vector<NodeId> liveNodes;
    for (const Member &member : fleet.members) {
        if (member.liveness != Liveness::Dead && member.phase == Phase::Ready) {
            liveNodes.push_back(member.node);
        }
    }
    const Bundle &accepted = m_engines.accepted();
    for (EngineOrder &order :
         m_plan.due(accepted, fleet.bundleOffset, m_engines.holdings(), m_engines.changing(),
                    liveNodes, now, std::chrono::system_clock::now())) {
        m_sender.send(std::move(order));
    }
}

} // namespace vanilladyke
