/** @file fleet_state_query.cpp Queries of the replicated state. */

#include "fleet/fleet_state_func.h"

#include <algorithm>

namespace Filbertlanding {

const QueueConfig *findQueue(const FleetManifest &manifest, std::string_view host, std::string_view path)
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : manifest.queues) {
        const bool matches = queue.host == host && path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

bool enforcesCapacity(const FleetManifest &manifest, const ServiceName &service)
{
    return std::any_of(manifest.services.begin(), manifest.services.end(), [&service](const FleetService &known) {
        return known.name == service && known.workersEnforceCapacity;
    });
}

const FleetJob *findJob(const FleetState &state, const JobId &id)
{
    const auto number = state.jobNumbers.find(id);
    if (number == state.jobNumbers.end()) {
        return nullptr;
    }
    const auto job = state.jobs.find(number->second);
    return job == state.jobs.end() ? nullptr : &job->second;
}

std::optional<JobStatus> findJobStatus(const FleetState &state, const JobId &id)
{
    if (const FleetJob *job = findJob(state, id)) {
        return JobStatus{job->state, job->failure, {job->account.name, job->host, job->pathPrefix}};
    }
    const auto number = state.jobNumbers.find(id);
    if (number == state.jobNumbers.end()) {
        return std::nullopt;
    }
    const EndedJob &ended = state.endedJobs.at(number->second);
    return JobStatus{ended.state, ended.failure, ended.origin};
}

const TaskRecord *findTask(const FleetJob &job, const TaskRef &ref)
{
    const auto occurrence = job.occurrences.find(ref.occurrence);
    if (occurrence == job.occurrences.end() || ref.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    const std::vector<TaskRecord> &tasks = occurrence->second.steps[ref.step].tasks;
    return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

std::uint32_t countOpenedOccurrences(const FleetJob &job)
{
    const auto incomplete = std::count_if(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
        return !item.second.isComplete;
    });
    return job.completeCount + static_cast<std::uint32_t>(incomplete);
}

bool impliesStart(const StepSpec &step, RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return true;
    case RunOutcome::Failed:
    case RunOutcome::Stopped:
    case RunOutcome::LeaseExpired:
        return !step.isGang;
    case RunOutcome::GangBroken:
    case RunOutcome::GangIncomplete:
    case RunOutcome::Lost:
    case RunOutcome::WorkerCrashed:
        return false;
    }
    return false;
}

bool isStepReady(const FleetJob &job, const Occurrence &occurrence, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    if (occurrence.steps[step].doneCount >= spec.taskCount) {
        return false;
    }
    return std::all_of(spec.dependsOn.begin(), spec.dependsOn.end(), [&job, &occurrence](std::uint32_t earlier) {
        return occurrence.steps[earlier].doneCount >= job.spec.steps[earlier].taskCount;
    });
}

std::uint64_t countQueuedJobs(const FleetState &state, const QueueConfig &queue)
{
    std::uint64_t count = 0;
    for (const auto &[number, job] : state.jobs) {
        const bool isWaiting = job.state == FleetJobState::Queued && job.spec.repeatCount == 0;
        count += isWaiting && job.host == queue.host && job.pathPrefix == queue.pathPrefix ? 1 : 0;
    }
    return count;
}

} // namespace Filbertlanding
