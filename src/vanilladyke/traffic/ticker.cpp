#include "vanilladyke/traffic/ticker.hpp"

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
    for (auto each = m_timed.begin(); each != m_timed.end();) {
        const std::shared_ptr<Timed> timed = each->lock();
        if (!timed) {
            each = m_timed.erase(each);
            continue;
        }
        ++each;
        if (timed->dueAt && *timed->dueAt <= now) {
            timed->dueAt.reset();
            timed->onDue();
        }
    }
    if (onStep) {
        onStep(now);
    }
}

} // namespace vanilladyke
