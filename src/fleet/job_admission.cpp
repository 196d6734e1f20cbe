/**
 * @file job_admission.cpp Bound on the memory of open jobs.
 *
 * Load: callers that hand in more than the workers do for minutes. Each job that is accepted must be run however late, so the backlog grows
 * until a replica has no memory left; from the bound on a caller is told at once that its job was not taken.
 */

#include "fleet/job_admission.h"

#include "core/random.h"
#include "fleet/fleet_state_base.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t BytesPerTask = sizeof(TaskRecord) + 160; ///< Record, its run in the scheduler, and what allocation adds.
    constexpr std::size_t BytesPerStep = sizeof(StepSpec) + sizeof(StepRecord) + 512; ///< With texts and what is known of its run time.
    constexpr std::size_t BytesPerJob = sizeof(FleetJob) + 1024; ///< With its places in the tables by name and number.
    constexpr std::uint32_t MostOpenOccurrences = 8; ///< Occurrences of a repeated job that are counted as open at once.
    constexpr Duration ShortestReturn{1'000};
    constexpr std::int64_t ReturnSpreadMs = 6'000;

} // namespace

std::size_t estimateJobMemory(const JobSpec &spec)
{
    std::size_t occurrenceBytes = 0;
    for (const StepSpec &step : spec.steps) {
        occurrenceBytes += BytesPerStep + step.taskCount * BytesPerTask;
    }
    const std::size_t occurrences = std::max<std::uint32_t>(1, std::min(spec.repeatCount, MostOpenOccurrences));
    return BytesPerJob + spec.payload.size() + occurrences * occurrenceBytes;
}

bool canAdmitJob(const AdmissionInput &input)
{
    return input.jobBytes <= input.maxBytes && input.openBytes <= input.maxBytes - input.jobBytes;
}

Duration retryDelayAfterRefusal(const JobId &id)
{
    return ShortestReturn + Duration{static_cast<std::int64_t>(stableHash(id) % ReturnSpreadMs)};
}

} // namespace Filbertlanding
