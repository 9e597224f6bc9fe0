#pragma once

#include "vanilladyke/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>

/// One timer for all deadlines of a traffic thread.
///
/// A timer for each read and write would cost a system call whenever the earliest deadline changes,
/// which on a host with a quarter of a core is a large part of a request. Deadlines here are
/// checked every Step instead, so they fire up to Step late.
namespace vanilladyke {

/// @brief Something with a deadline. It leaves the ticker when it is destroyed.
class Timed
{
public:
    Timed() = default;
    Timed(const Timed &) = delete;
    Timed &operator=(const Timed &) = delete;

    std::optional<TimePoint> dueAt;
    std::function<void()> onDue; ///< called once for each deadline; may set the next one
};

/// @brief Calls what is due. All members on the thread of its context.
class Ticker
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(20);

    explicit Ticker(boost::asio::io_context &context);

    void add(const std::shared_ptr<Timed> &timed) { m_timed.emplace_back(timed); }
    void start();
    void stop();
    /// @brief Called at each step.
    std::function<void(TimePoint)> onStep;

private:
    void step();

    boost::asio::steady_timer m_timer;
    std::list<std::weak_ptr<Timed>> m_timed;
    bool m_stopped = false;
};

} // namespace vanilladyke
