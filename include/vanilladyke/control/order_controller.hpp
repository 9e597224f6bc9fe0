#pragma once

#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanilladyke {

/// @brief Sends orders to engines on its own thread.
class OrderSender
{
public:
    explicit OrderSender(BackendTls tls);
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;
    ~OrderSender() = default;

    /// @brief Queues an order without blocking. Thread-safe.
    void send(EngineOrder order);

private:
    void run(const std::stop_token &stop);

    BackendTls m_tls;
    std::mutex m_mutex;
    std::condition_variable_any m_filled;
    std::deque<EngineOrder> m_orders;
    std::jthread m_thread;
};

/// @brief Orders the engines assigned to this node to hold the models that the bundle requires.
/// Must run after the membership and engine controllers, whose results it reads.
class OrderController
{
public:
    OrderController(NodeId self, const EngineController &engines, OrderSender &sender);

    void handle(const Event & /*event*/, TimePoint /*now*/) {}
    void contribute(Fleet &fleet, TimePoint now);

private:
    const EngineController &m_engines;
    OrderSender &m_sender;
    OrderPlan m_plan;
};

/// @brief The JSON body of an order.
[[nodiscard]] std::string writeOrder(const EngineOrder &order);

} // namespace vanilladyke
