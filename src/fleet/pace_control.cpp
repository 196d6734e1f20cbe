/**
 * @file pace_control.cpp Multiplicative decrease and additive increase of the pace.
 *
 * Load: lasting tasks whose load swings within seconds, beside long tasks that press on them by an amount that only the tail shows.
 * A tail over its target costs more than a slow task in spare room, so the pace falls at once and rises slowly.
 */

#include "fleet/pace_control.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t LowestPace = 5; ///< Below it nothing would be won for the lasting tasks.
    constexpr std::int64_t RaiseBelowPercent = 75; ///< The pace rises while every tail is below this share of its target.
    constexpr std::int64_t PaceStep = 15; ///< Rise of the pace at a time.

} // namespace

std::int64_t nextPace(std::int64_t pacePercent, const std::vector<TailSample> &samples)
{
    std::int64_t worstPercent = 0;
    for (const TailSample &sample : samples) {
        worstPercent = std::max(worstPercent, sample.tail.ms * 100 / std::max<std::int64_t>(1, sample.target.ms));
    }
    if (worstPercent >= 200) {
        return LowestPace;
    }
    if (worstPercent >= 100) {
        return std::max(LowestPace, pacePercent / 2);
    }
    if (worstPercent < RaiseBelowPercent) {
        return std::min<std::int64_t>(100, pacePercent + PaceStep);
    }
    return pacePercent;
}

} // namespace Filbertlanding
