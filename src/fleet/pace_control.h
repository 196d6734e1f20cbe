/** @file pace_control.h Throttling of spare-capacity tasks next to long-running tasks with a latency target. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace Filbertlanding {

/** Input for the speed limit of a spare-capacity task. */
struct ThrottleInput {
    std::int64_t speedLimitPercent = 100; ///< Present speed limit.
    double highestTailRatio = 0; ///< Highest tail latency on the same worker, relative to its target.
    double interferenceShare = 0; ///< Share of the task's image in the interference with tasks that are over their targets, from 0 to 1.
    Duration overTargetFor; ///< Longest time for which a task on the same worker has been over its target.
    Duration harmLimit; ///< Maximum time for which a task may be over its target.
};

/** Returns the next speed limit of the task in percent; 0 stops it. */
std::int64_t nextSpeedLimit(const ThrottleInput &input);

} // namespace Filbertlanding
