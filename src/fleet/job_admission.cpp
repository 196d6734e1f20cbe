/**
 * @file job_admission.cpp Limit on the memory of open jobs.
 *
 * Callers may submit more than the workers can process for minutes. Every accepted job must run, however late, so without a limit the backlog
 * would grow until a replica runs out of memory. Beyond the limit, new jobs are refused immediately.
 */

#include "fleet/job_admission.h"

#include "core/random.h"
#include "fleet/fleet_state_base.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t BytesPerTask = sizeof(TaskRecord) + 160; ///< Record, run state in the scheduler, and allocation overhead.
    constexpr std::size_t BytesPerStep = sizeof(StepSpec) + sizeof(StepRecord) + 512; ///< Including strings and run time evidence.
    constexpr std::size_t BytesPerJob = sizeof(FleetJob) + 1024; ///< Including the entries in lookup tables.
    constexpr std::uint32_t MaxOpenOccurrences = 8; ///< Maximum number of occurrences of a repeated job that are assumed to be open at once.
    constexpr Duration MinRetryDelay{1'000};
    constexpr std::int64_t RetryDelaySpreadMs = 6'000;

} // namespace

std::size_t estimateJobMemory(const JobSpec &spec)
{
    std::size_t occurrenceBytes = 0;
    for (const StepSpec &step : spec.steps) {
        occurrenceBytes += BytesPerStep + step.taskCount * BytesPerTask;
    }
    const std::size_t occurrences = std::max<std::uint32_t>(1, std::min(spec.repeatCount, MaxOpenOccurrences));
    return BytesPerJob + spec.payload.size() + occurrences * occurrenceBytes;
}

bool canAdmitJob(const AdmissionInput &input)
{
    return input.jobBytes <= input.maxBytes && input.openBytes <= input.maxBytes - input.jobBytes;
}

Duration retryDelayAfterRefusal(const JobId &id)
{
    return MinRetryDelay + Duration{static_cast<std::int64_t>(stableHash(id) % RetryDelaySpreadMs)};
}

} // namespace Filbertlanding
