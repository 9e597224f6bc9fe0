#include "vanilladyke/node/fresh_backends.hpp"

#include "vanilladyke/node/boot_clock.hpp"

#include <algorithm>

namespace vanilladyke {

asio::awaitable<bool> FreshBackends::wait()
{
    const auto waiter = std::make_shared<Waiter>(m_context, BootClock::now());
    m_waiters.push_back(waiter);
    onWanted(waiter->since);
    waiter->timer.expires_after(WaitTimeout);
    ErrorCode ignored;
    co_await waiter->timer.async_wait(redirectError(ignored));
    std::erase(m_waiters, waiter);
    co_return waiter->isProved.value_or(false);
}

void FreshBackends::end(TimePoint sentAt, bool isProved)
{
    for (const std::shared_ptr<Waiter> &each : m_waiters) {
        if (!each->isProved && each->since <= sentAt) {
            each->isProved = isProved;
            each->timer.cancel();
        }
    }
}

} // namespace vanilladyke
