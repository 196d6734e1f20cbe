/** @file job_admission.h Admission control of jobs by memory. */

#pragma once

#include "core/clock_type.h"
#include "fleet/fleet_type.h"

#include <cstddef>

namespace Filbertlanding {

/** Estimates the memory that a job occupies on each replica until it has ended. */
std::size_t estimateJobMemory(const JobSpec &spec);

/** Input of canAdmitJob(). */
struct AdmissionInput {
    std::size_t openBytes = 0; ///< Memory of all jobs that have not ended.
    std::size_t jobBytes = 0; ///< Memory of the new job.
    std::size_t maxBytes = 0; ///< Limit for the memory of open jobs.
};

/** Returns whether a job can be accepted. Accepted jobs are never evicted in favour of new ones. */
bool canAdmitJob(const AdmissionInput &input);

/** Returns the retry delay for a refused job. It depends on the job id, so that refused callers do not all retry at the same time. */
Duration retryDelayAfterRefusal(const JobId &id);

} // namespace Filbertlanding
