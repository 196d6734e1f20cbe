/**
 * @file pace_control.cpp Additive increase and multiplicative decrease of speed limits.
 *
 * The load of long-running tasks changes within seconds, and long batch tasks on the same worker interfere with them to a degree that differs by
 * pair of images. A tail latency over its target costs more than a slow batch task, but most tasks on the worker contribute nothing to it.
 * Therefore only contributing tasks are throttled at first. If the tail latency stays high, all of them are stopped for a while, well before
 * the harm limit.
 */

#include "fleet/pace_control.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr double RaiseThreshold = 0.8; ///< The limit rises while all tail latencies are below this share of their targets.
    constexpr std::int64_t SpeedLimitStep = 25; ///< Increment of the limit.
    constexpr std::int64_t MinSpeedLimit = 10; ///< A task below this limit makes too little progress to justify its interference, and is stopped.
    constexpr double MinInterferenceShare = 0.15; ///< Tasks with a smaller share of the interference are not throttled at first.

} // namespace

std::int64_t nextSpeedLimit(const ThrottleInput &input)
{
    if (input.highestTailRatio < RaiseThreshold) {
        return std::min<std::int64_t>(100, input.speedLimitPercent + SpeedLimitStep);
    }
    if (input.highestTailRatio <= 1.0) {
        return input.speedLimitPercent;
    }
    if (input.overTargetFor * 2 >= input.harmLimit) {
        return 0;
    }
    if (input.interferenceShare < MinInterferenceShare && input.overTargetFor * 4 < input.harmLimit) {
        return input.speedLimitPercent;
    }
    const std::int64_t slower = input.speedLimitPercent / (input.highestTailRatio > 1.5 ? 4 : 2);
    return slower < MinSpeedLimit ? 0 : slower;
}

} // namespace Filbertlanding
