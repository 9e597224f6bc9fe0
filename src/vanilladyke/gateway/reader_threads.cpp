#include "vanilladyke/gateway/reader_threads.hpp"

#include <thread>

namespace vanilladyke {

ReaderThreads::~ReaderThreads()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_running == 0; });
}

void ReaderThreads::start(std::function<void()> read)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_running;
    }
    std::thread([this, work = std::move(read)] {
        work();
        finished();
    }).detach();
}

/// Notifies under the lock: otherwise the destructor could return before notify_all() and destroy
/// the condition variable.
void ReaderThreads::finished()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_changed.notify_all();
}

} // namespace vanilladyke
