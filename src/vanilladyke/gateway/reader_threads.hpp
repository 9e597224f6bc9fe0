#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace vanilladyke {

/// @brief Runs blocking reads, each on its own thread; the destructor waits for all of them.
///
/// A blocking read can't always be interrupted, so its starter doesn't wait for it, but the process
/// must not exit while a reader thread runs.
class ReaderThreads
{
public:
    ReaderThreads() = default;
    ReaderThreads(const ReaderThreads &) = delete;
    ReaderThreads &operator=(const ReaderThreads &) = delete;
    ~ReaderThreads();

    void start(std::function<void()> read);

private:
    void finished();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_running = 0;
};

} // namespace vanilladyke
