/**
 * @file pace_control.cpp Decrease by half of what presses, increase step by step.
 *
 * Load: lasting tasks whose load swings within seconds, beside long tasks that press on them by amounts that differ by pair. A tail over
 * its target costs more than a slow task in spare room, but most tasks beside it have no part in it. So only those with a part are
 * slowed at first; if the tail stays high, all are stopped for a while, well before the limit.
 */

#include "fleet/pace_control.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr double RaiseBelow = 0.8; ///< The pace rises while every tail is below this share of its target.
    constexpr std::int64_t PaceStep = 25; ///< Rise of the pace at a time.
    constexpr std::int64_t LowestPace = 10; ///< A task below it does too little to be worth its pressure, and is halted.
    constexpr double LeastBlame = 0.15; ///< Tasks with a smaller part are not slowed at first.

} // namespace

std::int64_t nextSpeedLimit(const ThrottleInput &input)
{
    if (input.highestTailRatio < RaiseBelow) {
        return std::min<std::int64_t>(100, input.speedLimitPercent + PaceStep);
    }
    if (input.highestTailRatio <= 1.0) {
        return input.speedLimitPercent;
    }
    if (input.overTargetFor * 2 >= input.harmLimit) {
        return 0;
    }
    if (input.interferenceShare < LeastBlame && input.overTargetFor * 4 < input.harmLimit) {
        return input.speedLimitPercent;
    }
    const std::int64_t slower = input.speedLimitPercent / (input.highestTailRatio > 1.5 ? 4 : 2);
    return slower < LowestPace ? 0 : slower;
}

} // namespace Filbertlanding
