/**
 * @file job_admission.cpp Limits on the memory that callers make the replicated state hold.
 *
 * Callers may submit more than the workers can process for minutes. Every accepted job must run, however late, so without a limit the backlog
 * would grow until a replica runs out of memory. Ended jobs and cancellations must be known for as long as callers may ask for them. Beyond the
 * limits, new jobs and cancellations of unknown jobs are refused immediately.
 */

#include "fleet/job_admission.h"

#include "core/random.h"

namespace Filbertlanding {

namespace {

    constexpr Duration MinRetryDelay{1'000};
    constexpr std::int64_t RetryDelaySpreadMs = 6'000;

} // namespace

bool canAdmitJob(const AdmissionInput &input)
{
    return input.jobBytes <= input.maxBytes && input.openBytes <= input.maxBytes - input.jobBytes;
}

AdmissionRefusal findMemoryRefusal(const MemoryUse &use, const MemoryLimits &limits, std::size_t jobBytes)
{
    if (!canAdmitJob({use.state.jobs + use.pendingJobs, jobBytes, limits.openJobs})) {
        return AdmissionRefusal::OpenJobs;
    }
    return mayRememberMore(use, limits) ? AdmissionRefusal::None : AdmissionRefusal::EndedJobs;
}

bool mayRememberMore(const MemoryUse &use, const MemoryLimits &limits)
{
    return use.state.endedJobs + use.state.cancellations < limits.endedJobs;
}

Duration retryDelayAfterRefusal(const JobId &id)
{
    return MinRetryDelay + Duration{static_cast<std::int64_t>(stableHash(id) % RetryDelaySpreadMs)};
}

} // namespace Filbertlanding
