#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace vanilladyke {

/// @brief Runs blocking reads on threads of their own; the destructor waits for all of them.
///
/// A read can't be ended from outside at every moment, so that who started one may not wait for its
/// end; but the process must not end under a running thread.
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
