#pragma once

#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanilladyke {

/// @brief Tells engines to stop generating what nobody will read.
///
/// Without it an engine goes on to the last token after its caller has left, and the slot is lost
/// to others; one notices running requests on engines that no node knows of. Cancelling is a saving
/// and never needed for a right answer, so that it is tried once, in the background, and dropped
/// when too many are waiting.
class StreamCanceller
{
public:
    explicit StreamCanceller(BackendTls tls);
    StreamCanceller(const StreamCanceller &) = delete;
    StreamCanceller &operator=(const StreamCanceller &) = delete;
    /// @brief Gives up what still waits.
    ~StreamCanceller();

    void cancel(const Endpoint &engine, const StreamId &stream);

private:
    struct Order
    {
        Endpoint engine;
        StreamId stream;
    };

    void run(const std::stop_token &stop);

    const BackendTls m_tls;
    std::mutex m_mutex;
    std::condition_variable_any m_filled;
    std::deque<Order> m_orders;
    std::jthread m_thread;
};

} // namespace vanilladyke
