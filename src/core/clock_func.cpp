/** @file clock_func.cpp Reads the clocks of the host. */

#include "core/clock_func.h"

#include <chrono>
#include <cstdio>
#include <ctime>

namespace Filbertlanding {

namespace {

    /** The clock that counts the time for which the host was suspended, since leases go on meanwhile. */
    std::int64_t bootMicroseconds()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
    }

} // namespace

TimePoint steadyNow()
{
    return {bootMicroseconds() / 1000};
}

std::int64_t steadyMicroseconds()
{
    return bootMicroseconds();
}

WallTime wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

std::string formatWallTime(WallTime time)
{
    const std::time_t seconds = time.ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[64];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(time.ms % 1000));
    return text;
}

} // namespace Filbertlanding
