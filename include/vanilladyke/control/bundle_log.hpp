#pragma once

#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/log_client.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

/// The log's stream "bundles" as the control thread needs it: calls that block run here.
namespace vanilladyke {

inline constexpr const char *BundleStream = "bundles";

/// @brief Reads the stream from its start and then as it grows; posts each page.
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

/// @brief Appends checkpoints. One that fails is dropped: the controller asks again.
class CheckpointAppender
{
public:
    explicit CheckpointAppender(const Endpoint &log);

    /// @brief Takes a record and returns at once; any thread.
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
