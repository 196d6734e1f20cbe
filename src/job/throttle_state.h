/** @file throttle_state.h Decides, with hysteresis, when a worker's batch tasks are throttled, evicted or released. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace Filbertlanding {

/** Settings of throttling. */
struct ThrottleSettings {
    double highUtilization = 1.0; ///< Part of the processors or memory in use above which a worker is over.
    double lowUtilization = 0.85; ///< Part below which it has room again.
    double lowLatencyRatio = 0.6; ///< Part of the slowdown limit below which requests have room again.
    std::uint8_t minReportsOver = 2; ///< Reports in a row that must show the excess.
    std::uint8_t minReportsUnder = 3; ///< Reports in a row that must show room.
    Duration settlingTime{2000}; ///< Time after a step in which measurements do not show its effect yet.
};

/** What a report says about a worker. */
struct WorkerPressure {
    double latency = 0; ///< Measured slowdown of requests divided by the limit.
    double cpu = 0; ///< Part of the processors in use.
    double memory = 0; ///< Part of the memory in use.
};

/** Next step on a worker. */
enum class ThrottleAction : std::uint8_t { None, Throttle, Evict, Unthrottle };

/** Throttling of one worker. */
struct ThrottleState {
    std::uint8_t consecutiveOver = 0; ///< Reports in a row that showed an excess.
    std::uint8_t consecutiveUnder = 0; ///< Reports in a row that showed room.
    bool settling = false; ///< A step was taken and its effect is not known.
    TimePoint lastStep; ///< Time of the last step.
};

/**
 * Decides the next step on a worker after a report. At most one step is under way at a time: measurements taken before the last step
 * has had its effect are left out, since they would show the same excess again.
 * @param throttled Whether a task on the worker is throttled.
 * @param canThrottle Whether a task on the worker could be throttled.
 * @param now Time of the report; the caller must not pass reports that it knows to be older than the last one.
 */
ThrottleAction
nextThrottleAction(ThrottleState &state, const WorkerPressure &pressure, bool throttled, bool canThrottle, const ThrottleSettings &settings, TimePoint now);

/** Notes that a step was taken. */
void recordThrottleStep(ThrottleState &state, TimePoint now);

/** Returns whether a report shows an excess. */
bool isOverloaded(const WorkerPressure &pressure, const ThrottleSettings &settings);

} // namespace Filbertlanding
