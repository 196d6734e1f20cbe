/** @file worker_health.h Quarantine of workers on which different jobs fail, with probation. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Limits of the quarantine. */
struct QuarantineSettings {
    std::uint32_t distinctFailedJobs = 3; ///< Failed jobs, all different, that start a quarantine.
    Duration window{600'000}; ///< Failures older than this are forgotten.
    Duration baseQuarantineTime{60'000}; ///< Length of the first quarantine; each further one doubles it.
    Duration maxQuarantineTime{3'600'000}; ///< Longest quarantine.
};

/** One failure of a job. */
struct JobFailure {
    JobId job; ///< The job.
    TimePoint at; ///< When it failed.
};

/** Record of a worker's task outcomes. */
struct WorkerHealth {
    std::vector<JobFailure> failures; ///< Latest failure of each job since the last success, at most differentJobs entries.
    TimePoint quarantinedUntil; ///< End of the quarantine; only valid while quarantined.
    std::uint32_t quarantineCount = 0; ///< Quarantines since the worker last passed probation.
    bool quarantined = false; ///< The worker gets no task.
    bool probation = false; ///< The worker gets one task at a time; one failure quarantines it again.
};

/**
 * Records the end of a task. A job that fails again on the same worker counts once, since the job may be at fault.
 * A success forgets the failures and ends the probation.
 * @return Whether the worker should be quarantined now. The caller decides, since only so many workers may be quarantined at once.
 */
bool recordTaskOutcome(WorkerHealth &health, const QuarantineSettings &settings, const JobId &job, bool succeeded, TimePoint now);

/** Starts a quarantine; its length doubles with each quarantine since the last passed probation. */
void startQuarantine(WorkerHealth &health, const QuarantineSettings &settings, TimePoint now);

/** Ends a quarantine whose time is over and starts the probation. @return Whether it ended now. */
bool endQuarantineIfDue(WorkerHealth &health, TimePoint now);

/** Returns how many tasks the worker may run: 0 in quarantine, 1 on probation, otherwise no limit (UINT32_MAX). */
std::uint32_t allowedTasks(const WorkerHealth &health);

} // namespace Filbertlanding
