#pragma once

#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanilladyke {

/// @brief Cancels streams at engines whose answers are no longer needed.
///
/// Without cancellation an engine generates up to the last token after its caller has disconnected,
/// which blocks a slot; the symptom is running requests on engines that no node has recorded.
/// Cancellation saves work but is not needed for correct answers, so each is tried once in the
/// background, and the oldest is dropped when too many are queued.
class StreamCanceller
{
public:
    explicit StreamCanceller(BackendTls tls);
    StreamCanceller(const StreamCanceller &) = delete;
    StreamCanceller &operator=(const StreamCanceller &) = delete;
    /// @brief Drops cancellations that are still queued.
    ~StreamCanceller();

    void cancel(const Endpoint &engine, const StreamId &stream);

private:
    struct Cancellation
    {
        Endpoint engine;
        StreamId stream;
    };

    void run(const std::stop_token &stop);

    const BackendTls m_tls;
    std::mutex m_mutex;
    std::condition_variable_any m_queued;
    std::deque<Cancellation> m_queue;
    std::jthread m_thread;
};

} // namespace vanilladyke
