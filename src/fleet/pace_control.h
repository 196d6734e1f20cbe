/** @file pace_control.h Pace of tasks in spare room beside lasting tasks with a latency target. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace Filbertlanding {

/** What matters for the pace of one task in spare room. */
struct ThrottleInput {
    std::int64_t speedLimitPercent = 100; ///< Its present pace.
    double highestTailRatio = 0; ///< Highest tail beside it, as a share of the target.
    double interferenceShare = 0; ///< Its part in what presses on the tasks that are over their targets, from 0 to 1.
    Duration overTargetFor; ///< Longest time for which a task beside it is over its target.
    Duration harmLimit; ///< Time for which that may last at most.
};

/** Returns the pace that the task may work at from now on. */
std::int64_t nextSpeedLimit(const ThrottleInput &input);

} // namespace Filbertlanding
