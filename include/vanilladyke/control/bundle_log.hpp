#pragma once

#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/log_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

/// Threads that make the blocking calls to the log's stream "bundles" for the control thread.
namespace vanilladyke {

inline constexpr const char *BundleStream = "bundles";

/// @brief Reads the stream from its start, follows its end, and posts each page to the inbox.
class BundleLogTail
{
public:
    BundleLogTail(const Endpoint &log, Inbox &inbox);

private:
    void run(const std::stop_token &stop);

    LogClient m_client;
    Inbox &m_inbox;
    std::jthread m_thread;
};

/// @brief Appends checkpoints. A failed append is not retried here: the controller submits the
/// checkpoint again while it is due.
class CheckpointAppender
{
public:
    explicit CheckpointAppender(const Endpoint &log);

    /// @brief Queues a record without blocking; replaces one not yet sent. Thread-safe.
    void append(std::string record);

private:
    void run(const std::stop_token &stop);

    LogClient m_client;
    std::mutex m_mutex;
    std::condition_variable_any m_filled;
    std::optional<std::string> m_record;
    std::jthread m_thread;
};

} // namespace vanilladyke
