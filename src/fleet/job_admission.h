/** @file job_admission.h Admission control of jobs and cancellations by memory. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"
#include "fleet/state_memory.h"

#include <cstddef>

namespace Filbertlanding {

/** Input of canAdmitJob(). */
struct AdmissionInput {
    std::size_t openBytes = 0; ///< Memory of all jobs that have not ended.
    std::size_t jobBytes = 0; ///< Memory of the new job.
    std::size_t maxBytes = 0; ///< Limit for the memory of open jobs.
};

/** Returns whether a job can be accepted. Accepted jobs are never evicted in favour of new ones. */
bool canAdmitJob(const AdmissionInput &input);

/** Limits of the estimated memory use, in bytes. */
struct MemoryLimits {
    std::size_t openJobs = 0; ///< Limit for jobs until their end, and the end of their runs.
    std::size_t endedJobs = 0; ///< Limit for what is kept of ended jobs and of cancellations that arrived before their submission.
};

/** Estimated memory use. */
struct MemoryUse {
    StateMemory state; ///< What the log contains.
    std::size_t pendingJobs = 0; ///< Submissions that are proposed and not applied yet, in bytes.
};

/** Which limit refuses a job. */
enum class AdmissionRefusal : std::uint8_t {
    None, ///< The job is accepted.
    OpenJobs, ///< See MemoryLimits::openJobs.
    EndedJobs, ///< See MemoryLimits::endedJobs. The job could not be remembered after its end.
};

constexpr auto AdmissionRefusalNames = makeNameTable<AdmissionRefusal>({
    {AdmissionRefusal::None, "none"},
    {AdmissionRefusal::OpenJobs, "memory"},
    {AdmissionRefusal::EndedJobs, "memory_of_ended_jobs"},
});

/** Returns which limit refuses a job with an estimated memory use. */
AdmissionRefusal findMemoryRefusal(const MemoryUse &use, const MemoryLimits &limits, std::size_t jobBytes);

/** Returns whether another ended job, or another cancellation that arrived before its submission, may be kept. */
bool mayRememberMore(const MemoryUse &use, const MemoryLimits &limits);

/** Returns the retry delay for a refused job. It depends on the job id, so that refused callers do not all retry at the same time. */
Duration retryDelayAfterRefusal(const JobId &id);

} // namespace Filbertlanding
