#include "vanilladyke/traffic/ticker.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

Ticker::Ticker(boost::asio::io_context &context)
    : m_timer(context)
{}

void Ticker::start()
{
    m_timer.expires_after(Step);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_stopped) {
            step();
            start();
        }
    });
}

void Ticker::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void Ticker::step()
{
    const TimePoint now = MonotonicClock::now();
    const Duration late = now - m_timer.expiry();
    if (late > StandstillAfter) {
        LogEvent("stood_still", Severity::Warning).field("for_ms", late);
    }
    for (auto each = m_deadlineTimers.begin(); each != m_deadlineTimers.end();) {
        const std::shared_ptr<DeadlineTimer> timer = each->lock();
        if (!timer) {
            each = m_deadlineTimers.erase(each);
            continue;
        }
        ++each;
        if (timer->dueAt && *timer->dueAt <= now) {
            timer->dueAt.reset();
            timer->onDue();
        }
    }
    if (onStep) {
        onStep(now);
    }
}

} // namespace vanilladyke
