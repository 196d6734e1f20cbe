/** @file worker_health.h Quarantine and probation of workers on which several different jobs have failed. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Configuration of the quarantine. */
struct QuarantineSettings {
    std::uint32_t distinctFailedJobs = 3; ///< Number of distinct failed jobs that starts a quarantine.
    Duration window{600'000}; ///< Older failures are discarded.
    Duration baseQuarantineTime{60'000}; ///< Duration of the first quarantine; doubles with each further quarantine.
    Duration maxQuarantineTime{3'600'000}; ///< Upper bound of the duration.
};

/** Failure of a job on a worker. */
struct JobFailure {
    JobId job;
    TimePoint at; ///< Time of the failure.
};

/** Health of a worker, derived from the outcomes of its tasks. */
struct WorkerHealth {
    std::vector<JobFailure> failures; ///< Latest failure of each job since the last success, at most distinctFailedJobs entries.
    TimePoint quarantinedUntil; ///< End of the quarantine; valid only while quarantined.
    std::uint32_t quarantineCount = 0; ///< Quarantines since the worker last passed probation.
    bool quarantined = false; ///< The worker gets no tasks.
    bool probation = false; ///< The worker gets one task at a time, and one failure quarantines it again.
};

/**
 * Records the end of a task. A job that fails repeatedly on the same worker counts once, since the job may be at fault.
 * A success clears the failures and ends the probation.
 * @return Whether the worker should be quarantined. The caller decides, since the number of quarantined workers is limited.
 */
bool recordTaskOutcome(WorkerHealth &health, const QuarantineSettings &settings, const JobId &job, bool succeeded, TimePoint now);

/** Starts a quarantine. Its duration doubles with each quarantine since the worker last passed probation. */
void startQuarantine(WorkerHealth &health, const QuarantineSettings &settings, TimePoint now);

/** Ends an expired quarantine and starts the probation. @return Whether the quarantine ended. */
bool endQuarantineIfDue(WorkerHealth &health, TimePoint now);

/** Returns how many tasks the worker may run: 0 in quarantine, 1 on probation, otherwise UINT32_MAX. */
std::uint32_t allowedTasks(const WorkerHealth &health);

} // namespace Filbertlanding
