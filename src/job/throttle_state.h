/** @file throttle_state.h Decides, with hysteresis, when batch tasks of a worker are throttled, evicted or unthrottled. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace Filbertlanding {

/** Settings of throttling. */
struct ThrottleSettings {
    double highUtilization = 1.0; ///< Fraction of processors or memory in use above which a worker is overloaded.
    double lowUtilization = 0.85; ///< Fraction below which a worker has spare capacity.
    double lowLatencyRatio = 0.6; ///< Fraction of the slowdown limit below which request latency allows unthrottling.
    std::uint8_t minReportsOver = 2; ///< Consecutive overloaded reports before a task is throttled or evicted.
    std::uint8_t minReportsUnder = 3; ///< Consecutive reports with spare capacity before a task is unthrottled.
    Duration settlingTime{2000}; ///< Time after a step during which measurements do not show its effect yet.
};

/** Load of a worker according to a report. */
struct WorkerPressure {
    double latency = 0; ///< Measured slowdown of requests divided by the limit.
    double cpu = 0; ///< Fraction of the processors in use.
    double memory = 0; ///< Fraction of the memory in use.
};

/** Next step on a worker. */
enum class ThrottleAction : std::uint8_t { None, Throttle, Evict, Unthrottle };

/** Throttling state of one worker. */
struct ThrottleState {
    std::uint8_t consecutiveOver = 0; ///< Consecutive overloaded reports.
    std::uint8_t consecutiveUnder = 0; ///< Consecutive reports with spare capacity.
    bool settling = false; ///< A step was taken and its effect is not measured yet.
    TimePoint lastStep; ///< Time of the last step.
};

/**
 * Decides the next step on a worker after a report. Only one step is in progress at a time: reports within the settling time of the last
 * step are ignored, since they would show the same overload again.
 * @param throttled Whether a task on the worker is throttled.
 * @param canThrottle Whether a task on the worker can be throttled.
 * @param now Time of the report. Reports known to be older than the last one must not be passed.
 */
ThrottleAction
nextThrottleAction(ThrottleState &state, const WorkerPressure &pressure, bool throttled, bool canThrottle, const ThrottleSettings &settings, TimePoint now);

/** Records that a step was taken: resets the report counts and starts the settling time. */
void recordThrottleStep(ThrottleState &state, TimePoint now);

/** Returns whether a report shows an overloaded worker. */
bool isOverloaded(const WorkerPressure &pressure, const ThrottleSettings &settings);

} // namespace Filbertlanding
