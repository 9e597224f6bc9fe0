#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// Lets requests wait for a list of servers that is younger than they are.
///
/// Whether a version of software is the only one follows from the list only as of the moment at
/// which the list was read. A node that stood still or does not reach the store takes an old list
/// for the present one. The store's answers are linearizable: a list that was read by a call which
/// began after a request came names every server that ran anything before the request.
namespace vanilladyke {

/// @brief Waits of the traffic thread for reads of the list. One read serves all that wait.
class FreshBackends
{
public:
    /// The store's answer is worth waiting for no longer than a call to it may take.
    static constexpr Duration WaitTimeout = std::chrono::milliseconds(500);

    explicit FreshBackends(asio::io_context &context)
        : m_context(context)
    {}

    /// @brief Called when a list is wanted that is read by a call which begins at @p since or
    /// later, on the boot clock.
    std::function<void(TimePoint since)> onWanted = [](TimePoint) {};

    /// @brief Waits for a list that is read by a call which begins now or later.
    /// @return false if the store gave none in time
    [[nodiscard]] asio::awaitable<bool> wait();
    /// @brief The list that a call gave which began at @p sentAt is in use.
    void proved(TimePoint sentAt) { end(sentAt, true); }
    /// @brief A call that began at @p sentAt gave no list.
    void failed(TimePoint sentAt) { end(sentAt, false); }

private:
    struct Waiter
    {
        Waiter(asio::io_context &context, TimePoint begin)
            : timer(context)
            , since(begin)
        {}

        asio::steady_timer timer;
        TimePoint since;
        std::optional<bool> isProved;
    };

    /// Ends the waits that the call covers.
    void end(TimePoint sentAt, bool isProved);

    asio::io_context &m_context;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
};

} // namespace vanilladyke
