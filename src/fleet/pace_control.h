/** @file pace_control.h Pace of tasks in spare room beside lasting tasks with a latency target. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Tail of a lasting task and its target. */
struct TailSample {
    Duration tail;
    Duration target;
};

/**
 * Returns the pace that tasks in spare room may work at.
 * @param pacePercent Their present pace.
 * @param samples Tails of the lasting tasks beside them; a tail of 0 is not known yet.
 */
std::int64_t nextPace(std::int64_t pacePercent, const std::vector<TailSample> &samples);

} // namespace Filbertlanding
