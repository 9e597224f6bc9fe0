#include "vanilladyke/node/boot_clock.hpp"

#include <ctime>

namespace vanilladyke {

TimePoint BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace vanilladyke
