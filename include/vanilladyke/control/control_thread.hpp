#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"

#include <concepts>
#include <thread>
#include <tuple>

/// The only thread that changes shared state. It passes each event to every controller, lets every
/// controller write its part of the next Fleet, and publishes that Fleet.
namespace vanilladyke {

/// @brief Owner of one part of the control state. Both functions run on the control thread only.
template <typename T>
concept Controller = requires(T &controller, const Event &event, Fleet &fleet, TimePoint now)
{
    controller.handle(event, now);
    controller.contribute(fleet, now);
};

/// @brief Runs the controllers, in the order given, until it is destroyed.
template <Controller... Controllers>
class ControlThread
{
public:
    ControlThread(Inbox &inbox, FleetStore &store, Controllers &...controllers)
        : m_inbox(inbox)
        , m_store(store)
        , m_controllers(controllers...)
    {
        m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
    }

private:
    static constexpr Duration TickInterval = std::chrono::milliseconds(50);
    static constexpr int MaxEventsPerBatch = 256;

    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            std::optional<Event> event = m_inbox.take(MonotonicClock::now() + TickInterval);
            handle(event ? *event : Event(Tick{}));
            drain();
            publish();
        }
    }

    /// Handles queued events as one batch, so that under many reports the Fleet is built once a
    /// batch.
    void drain()
    {
        for (int i = 0; i < MaxEventsPerBatch; ++i) {
            const std::optional<Event> event = m_inbox.take(TimePoint::min());
            if (!event) {
                return;
            }
            handle(*event);
        }
    }

    void handle(const Event &event)
    {
        const TimePoint now = MonotonicClock::now();
        std::apply([&](auto &...each) { (each.handle(event, now), ...); }, m_controllers);
    }

    void publish()
    {
        const TimePoint now = MonotonicClock::now();
        auto fleet = std::make_shared<Fleet>();
        std::apply([&](auto &...each) { (each.contribute(*fleet, now), ...); }, m_controllers);
        m_store.publish(std::move(fleet));
    }

    Inbox &m_inbox;
    FleetStore &m_store;
    std::tuple<Controllers &...> m_controllers;
    std::jthread m_thread;
};

} // namespace vanilladyke
