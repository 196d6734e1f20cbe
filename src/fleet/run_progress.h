/**
 * @file run_progress.h Tells from the progress of a run whether it would be done sooner elsewhere.
 *
 * Progress is timed by the worker's own clock, so a list that is late on its way does not make a run look slow.
 */

#pragma once

#include "core/clock_type.h"
#include "fleet/run_time.h"

#include <cstdint>
#include <optional>

namespace Filbertlanding {

/** Progress of one run as the worker lists it. */
struct RunProgress {
    std::optional<std::int64_t> firstClockMs; ///< Worker's clock when the run was first seen.
    std::int64_t firstPercent = 0;
    std::int64_t lastClockMs = 0; ///< Worker's clock when the run was last seen.
    std::int64_t changedClockMs = 0; ///< Worker's clock when it first showed its present percent.
    std::int64_t percent = 0;
    double workMs = 0; ///< Time since it was first seen, each part weighted by the share of its full speed that it was given.
};

/** Notes what a list shows. The share is what the run was given of the processors that it asks for, from 0 to 1. */
void updateProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs, double speedShare);

/** Run time that progress shows. */
struct ObservedRunTime {
    double ms = 0; ///< Of the whole task at full speed.
    double gainedPercent = 0; ///< Progress that it rests on.
};

/** Returns what progress shows of the run time; nothing if it has been seen for too short a time. */
std::optional<ObservedRunTime> observedRunTime(const RunProgress &progress);

/** Returns the run time of a task that is done, from its progress and the worker's clock at its end; nothing if it is too uncertain. */
std::optional<Duration> measuredRunTime(const RunProgress &progress, std::int64_t endClockMs);

/** How much slower than expected the runs of one worker are: the mean of logarithms, and its weight as the inverse of the variance. */
struct WorkerSlowness {
    double weight = 0;
    double sum = 0;
};

/** Adds what one run shows. */
void addSlownessSample(WorkerSlowness &slowness, const ObservedRunTime &shown, const RunTimeEstimate &runTimeEstimate);

/** What matters for the judgement of a run. */
struct ProgressInput {
    RunProgress progress;
    RunTimeEstimate runTimeEstimate; ///< Run time where it runs, from other runs of its step on other workers and from earlier steps.
    WorkerSlowness worker; ///< Of all runs on its worker.
    bool isThrottled = false; ///< It does not run at full speed by our own order.
    bool isCheckpointed = false; ///< It goes on elsewhere from its saved progress.
    Duration restartDelay; ///< Time until it would run again elsewhere.
};

/** Judgement on a run. */
enum class ProgressVerdict : std::uint8_t {
    Normal,
    Stalled, ///< It does not move at all.
    Slow, ///< Its worker is at fault, and it would be done sooner if it began anew elsewhere.
};

ProgressVerdict assessProgress(const ProgressInput &input);

} // namespace Filbertlanding
