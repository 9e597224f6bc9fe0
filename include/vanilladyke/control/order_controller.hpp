#pragma once

#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanilladyke {

/// @brief Sends orders to engines, on a thread of its own.
class OrderSender
{
public:
    explicit OrderSender(BackendTls tls);
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;
    ~OrderSender() = default;

    /// @brief Takes an order and returns at once.
    void send(EngineOrder order);

private:
    void run(const std::stop_token &stop);

    BackendTls m_tls;
    std::mutex m_mutex;
    std::condition_variable_any m_filled;
    std::deque<EngineOrder> m_orders;
    std::jthread m_thread;
};

/// @brief Orders the engines that fall to this node to hold what the bundle wants. It comes after
/// the controllers of members and engines, and reads what they found.
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

/// @brief The body of an order as engines read it.
[[nodiscard]] std::string writeOrder(const EngineOrder &order);

} // namespace vanilladyke
