/** @file job_admission.h Decides at the door whether one more job can be held. */

#pragma once

#include "core/clock_type.h"
#include "fleet/fleet_type.h"

#include <cstddef>

namespace Filbertlanding {

/** Returns the memory that a job takes on each replica until it has ended, about. */
std::size_t estimateJobMemory(const JobSpec &spec);

/** What matters for the decision. */
struct AdmissionInput {
    std::size_t openBytes = 0; ///< Memory of the jobs that have not ended.
    std::size_t jobBytes = 0; ///< Memory of the new one.
    std::size_t maxBytes = 0; ///< Bound of the memory of open jobs.
};

/** Returns whether the job can be held. What was accepted before is never given up to make room. */
bool canAdmitJob(const AdmissionInput &input);

/** Returns when a caller that was refused should come back. Callers of different jobs are told different times, so that they do not return together. */
Duration retryDelayAfterRefusal(const JobId &id);

} // namespace Filbertlanding
