/** @file state_memory.cpp Estimated memory use of what callers make the replicated state hold. */

#include "fleet/state_memory.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t BytesPerTask = sizeof(TaskRecord) + 160; ///< Record, run state in the scheduler, and allocation overhead.
    constexpr std::size_t BytesPerStep = sizeof(StepSpec) + 512; ///< Including run time evidence in the scheduler.
    constexpr std::size_t BytesPerJob = sizeof(FleetJob) + 1024; ///< Including the entries in lookup tables.
    constexpr std::size_t BytesPerEntry = 64; ///< Node of a map or set, and allocation overhead.

    std::size_t textBytes(const std::string &text)
    {
        constexpr std::size_t AllocationOverhead = 16;
        return text.empty() ? 0 : text.size() + AllocationOverhead;
    }

    /** Returns the memory of what a caller has sent, without the tasks. */
    std::size_t specBytes(const JobSpec &spec)
    {
        std::size_t bytes = textBytes(spec.payload);
        for (const StepSpec &step : spec.steps) {
            bytes += BytesPerStep + step.dependsOn.size() * sizeof(std::uint32_t);
            bytes += textBytes(step.requiredLabel) + textBytes(step.dataRack) + textBytes(step.image);
        }
        return bytes;
    }

    std::size_t occurrenceBytes(const Occurrence &occurrence)
    {
        std::size_t bytes = sizeof(Occurrence) + BytesPerEntry;
        for (const StepRecord &step : occurrence.steps) {
            bytes += sizeof(StepRecord) + step.tasks.size() * BytesPerTask;
        }
        return bytes;
    }

} // namespace

std::size_t estimateOccurrenceMemory(const JobSpec &spec)
{
    std::size_t bytes = sizeof(Occurrence) + BytesPerEntry;
    for (const StepSpec &step : spec.steps) {
        bytes += sizeof(StepRecord) + step.taskCount * BytesPerTask;
    }
    return bytes;
}

std::size_t estimateJobMemory(const JobSpec &spec)
{
    const std::size_t occurrences = std::max<std::uint32_t>(1, std::min(spec.repeatCount, ReservedOccurrences));
    return BytesPerJob + specBytes(spec) + occurrences * estimateOccurrenceMemory(spec);
}

std::size_t estimateHeldMemory(const FleetJob &job)
{
    std::size_t bytes = BytesPerJob + specBytes(job.spec);
    for (const auto &[number, occurrence] : job.occurrences) {
        bytes += occurrenceBytes(occurrence);
    }
    return hasEnded(job.state) ? bytes : std::max(bytes, estimateJobMemory(job.spec));
}

std::size_t estimateEndedMemory(const EndedJob &job)
{
    constexpr std::size_t LookupEntries = 3; // By number, by id and by the time of the end.
    const JobOrigin &origin = job.origin;
    return sizeof(EndedJob) + sizeof(JobId) + LookupEntries * BytesPerEntry + 2 * textBytes(job.id) + textBytes(origin.account) + textBytes(origin.host)
        + textBytes(origin.pathPrefix);
}

std::size_t estimateCancellationMemory(const JobId &id, const EarlyCancellation &cancellation)
{
    std::size_t bytes = sizeof(JobId) + sizeof(EarlyCancellation) + BytesPerEntry + textBytes(id);
    for (const AccountName &account : cancellation.accounts) {
        bytes += sizeof(AccountName) + textBytes(account);
    }
    return bytes;
}

StateMemory estimateStateMemory(const FleetState &state)
{
    StateMemory memory;
    for (const auto &[number, job] : state.jobs) {
        memory.jobs += estimateHeldMemory(job);
    }
    for (const auto &[number, job] : state.endedJobs) {
        memory.endedJobs += estimateEndedMemory(job);
    }
    for (const auto &[id, cancellation] : state.cancelledBeforeSubmission) {
        memory.cancellations += estimateCancellationMemory(id, cancellation);
    }
    return memory;
}

} // namespace Filbertlanding
