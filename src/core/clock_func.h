/** @file clock_func.h Reads the clocks of the host. Decision code gets the time passed in and does not call these. */

#pragma once

#include "core/clock_type.h"

#include <string>

namespace Filbertlanding {

/** Returns the steady clock of this process. It goes on while the host is suspended, as the leases of other hosts do. */
TimePoint steadyNow();

/** Returns the steady clock in microseconds, for measuring latencies; decisions use steadyNow(). */
std::int64_t steadyMicroseconds();

/** Returns the calendar time of this host. */
WallTime wallNow();

/** Formats a calendar time as UTC, for example 2026-12-04T05:30:21.123Z. */
std::string formatWallTime(WallTime time);

} // namespace Filbertlanding
