/** @file clock_func.cpp Reads the clocks of the host. */

#include "core/clock_func.h"

#include <chrono>
#include <cstdio>
#include <ctime>

namespace Filbertlanding {

TimePoint steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count()};
}

std::int64_t steadyMicroseconds()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count();
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
