/** @file chrono_func.h Converts times of the project's clock for the timers of Asio. */

#pragma once

#include "core/clock_type.h"

#include <chrono>

namespace Filbertlanding {

/** Returns a length of time in the type of the standard library. */
inline std::chrono::milliseconds chronoOf(Duration length)
{
    return std::chrono::milliseconds(length.ms);
}

} // namespace Filbertlanding
