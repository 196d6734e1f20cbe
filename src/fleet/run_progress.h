/**
 * @file run_progress.h Detects stalled and slow runs that should be restarted on another worker.
 *
 * Progress is measured with the worker's own clock, so a delayed report does not make a run look slow.
 */

#pragma once

#include "core/clock_type.h"
#include "fleet/run_time.h"

#include <cstdint>
#include <optional>

namespace Filbertlanding {

/** Progress of a run as reported by its worker. */
struct RunProgress {
    std::optional<std::int64_t> firstClockMs; ///< Worker clock at the first report of the run.
    std::int64_t firstPercent = 0; ///< Progress at the first report.
    std::int64_t lastClockMs = 0; ///< Worker clock at the latest report.
    std::int64_t changedClockMs = 0; ///< Worker clock when the present progress was first reported.
    std::int64_t percent = 0; ///< Present progress.
    double workMs = 0; ///< Time between the first and the latest report, weighted by the share of full speed that the run was given.
};

/** Adds a report. The speed share is the part of the requested CPU that the run was given, from 0 to 1. */
void updateProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs, double speedShare);

/** Run time extrapolated from progress. */
struct ObservedRunTime {
    double ms = 0; ///< Run time of the whole task at full speed.
    double gainedPercent = 0; ///< Progress on which the extrapolation is based.
};

/** Extrapolates the run time from progress; nothing if the run has been observed for too short a time. */
std::optional<ObservedRunTime> observedRunTime(const RunProgress &progress);

/** Returns the run time of a completed task, from its progress and the worker clock at its end; nothing if it is too uncertain. */
std::optional<Duration> measuredRunTime(const RunProgress &progress, std::int64_t endClockMs);

/** Slowness of a worker: logarithms of observed over expected run times, weighted by the inverse variance. */
struct WorkerSlowness {
    double weight = 0;
    double sum = 0;
};

/** Adds the observed run time of one run. */
void addSlownessSample(WorkerSlowness &slowness, const ObservedRunTime &observed, const RunTimeEstimate &runTimeEstimate);

/** Input of assessProgress(). */
struct ProgressInput {
    RunProgress progress;
    RunTimeEstimate runTimeEstimate; ///< Expected run time at its place, from runs of the same step on other workers and from earlier steps.
    WorkerSlowness worker; ///< Slowness of its worker over all runs.
    bool isThrottled = false; ///< The scheduler itself has limited the speed of the run.
    bool isCheckpointed = false; ///< The run can resume from a checkpoint on another worker.
    Duration restartDelay; ///< Time until the run would be started on another worker.
};

/** Assessment of a run. */
enum class ProgressVerdict : std::uint8_t {
    Normal,
    Stalled, ///< The run makes no progress.
    Slow, ///< The worker is slow, and the task would complete earlier if restarted on another one.
};

ProgressVerdict assessProgress(const ProgressInput &input);

} // namespace Filbertlanding
