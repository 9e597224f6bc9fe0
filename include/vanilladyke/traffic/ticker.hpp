#pragma once

#include "vanilladyke/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>

/// A single timer for all deadlines of a traffic thread.
///
/// A separate Asio timer for each read and write would cost a system call whenever the earliest
/// deadline changes, which is a large part of a request's cost on a host with a quarter of a core.
/// Deadlines are checked once every Step instead, so they fire up to Step late.
namespace vanilladyke {

/// @brief A deadline with a callback. The ticker holds it weakly: destroying it unregisters it.
class DeadlineTimer
{
public:
    DeadlineTimer() = default;
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    std::optional<TimePoint> dueAt;
    std::function<void()> onDue; ///< called once per deadline; may set dueAt again
};

/// @brief Runs the callbacks of expired deadlines. For use on the context's thread only.
class Ticker
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(20);

    explicit Ticker(boost::asio::io_context &context);

    void add(const std::shared_ptr<DeadlineTimer> &timer) { m_deadlineTimers.emplace_back(timer); }
    void start();
    void stop();
    /// @brief Called once every Step.
    std::function<void(TimePoint)> onStep;

private:
    void step();

    /// A step that is this late shows that the process stood still or is far behind its work.
    static constexpr Duration StandstillAfter = std::chrono::milliseconds(250);

    boost::asio::steady_timer m_timer;
    std::list<std::weak_ptr<DeadlineTimer>> m_deadlineTimers;
    bool m_stopped = false;
};

} // namespace vanilladyke
