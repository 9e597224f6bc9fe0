#include "vanilladyke/node/follow_context.hpp"

namespace vanilladyke {

Duration fractionOf(Duration span, double fraction)
{
    return spanOfSeconds(secondsOf(span) * fraction);
}

asio::awaitable<void> FollowContext::pause(Duration span)
{
    asio::steady_timer timer(io, span);
    ErrorCode ignored;
    co_await timer.async_wait(redirectError(ignored));
}

asio::awaitable<void> FollowContext::pauseInEra(Duration span, std::uint64_t known)
{
    constexpr Duration Step = std::chrono::milliseconds(500);
    const TimePoint until = MonotonicClock::now() + span;
    for (TimePoint now = MonotonicClock::now(); now < until && era.view().era == known;
         now = MonotonicClock::now()) {
        co_await pause(std::min<Duration>(Step, until - now));
    }
}

asio::awaitable<void> FollowContext::failed(BackOff &backOff)
{
    listener.storeFailed();
    const TimePoint now = MonotonicClock::now();
    backOff.failed(now, random);
    co_await pause(backOff.retryAt() - now);
}

} // namespace vanilladyke
