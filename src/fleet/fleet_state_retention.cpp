/**
 * @file fleet_state_retention.cpp Releases what is no longer needed of ended jobs, and removes them after their retention time.
 *
 * An ended job is released in three stages. Its end releases the payload and all tasks but those whose runs workers may still have. Once these runs
 * have ended, an advance of the retention clock reduces it to what callers may ask for. That is removed after the retention time.
 */

#include "fleet/fleet_state_detail.h"
#include "fleet/state_memory.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    bool hasActiveRuns(const Occurrence &occurrence)
    {
        return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const StepRecord &step) {
            return step.activeCount > 0;
        });
    }

    bool hasActiveRuns(const FleetJob &job)
    {
        return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
            return hasActiveRuns(item.second);
        });
    }

    /** Reduces the ended jobs whose runs have all ended to what callers may ask for. */
    void reduceEndedJobs(FleetState &state)
    {
        std::erase_if(state.endingJobs, [&state](JobNumber number) {
            FleetJob &job = state.jobs.at(number);
            if (hasActiveRuns(job)) {
                return false;
            }
            state.memory.jobs -= job.memoryBytes;
            addEndedJob(state, reduceJob(std::move(job)));
            state.jobs.erase(number);
            return true;
        });
    }

    void removeEndedJob(FleetState &state, JobNumber number)
    {
        const auto job = state.endedJobs.find(number);
        state.memory.endedJobs -= estimateEndedMemory(job->second);
        state.jobNumbers.erase(job->second.id);
        state.endedOrder.erase({job->second.endedOnClock, number});
        state.endedJobs.erase(job);
    }

    /** Removes the early cancellations for which a function returns true. */
    template<class IsOld>
    void removeCancellations(FleetState &state, IsOld isOld)
    {
        std::erase_if(state.cancelledBeforeSubmission, [&state, &isOld](const auto &item) {
            const bool isRemoved = isOld(item.second);
            state.memory.cancellations -= isRemoved ? estimateCancellationMemory(item.first, item.second) : 0;
            return isRemoved;
        });
    }

} // namespace

EndedJob reduceJob(FleetJob job)
{
    EndedJob ended;
    ended.number = job.number;
    ended.id = std::move(job.id);
    ended.origin = {std::move(job.account.name), std::move(job.host), std::move(job.pathPrefix)};
    ended.state = job.state;
    ended.failure = job.failure;
    ended.endedAt = job.endedAt;
    ended.endedOnClock = job.endedOnClock;
    return ended;
}

void addEndedJob(FleetState &state, EndedJob job)
{
    state.memory.endedJobs += estimateEndedMemory(job);
    state.endedOrder.insert({job.endedOnClock, job.number});
    const JobNumber number = job.number;
    state.endedJobs.emplace(number, std::move(job));
}

void releaseTasks(FleetJob &job)
{
    const bool isEnded = hasEnded(job.state);
    if (isEnded) {
        job.spec.payload = std::string();
    }
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepRecord &step : occurrence.steps) {
            if ((isEnded || occurrence.isComplete) && step.activeCount == 0) {
                step.tasks = std::vector<TaskRecord>();
            }
        }
    }
    std::erase_if(job.occurrences, [isEnded](const auto &item) {
        return (isEnded || item.second.isComplete) && !hasActiveRuns(item.second);
    });
}

void releaseAfterRun(FleetState &state, FleetJob &job)
{
    const bool hasCompleteOccurrence = std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
        return item.second.isComplete;
    });
    if (hasEnded(job.state) || hasCompleteOccurrence) {
        releaseTasks(job);
        updateJobMemory(state, job);
    }
}

void updateJobMemory(FleetState &state, FleetJob &job)
{
    state.memory.jobs -= job.memoryBytes;
    job.memoryBytes = estimateHeldMemory(job);
    state.memory.jobs += job.memoryBytes;
}

bool needsRetentionClock(const FleetState &state)
{
    return !state.jobs.empty() || !state.endedJobs.empty() || !state.cancelledBeforeSubmission.empty();
}

FleetChange apply(FleetState &state, const AdvanceRetentionClock &command)
{
    const Duration elapsed = std::clamp(command.elapsed, Duration{0}, MaxRetentionClockAdvance);
    state.retentionClock = state.retentionClock + elapsed;
    const auto isOld = [&state](Duration since) {
        // The advance that follows an end counts time from before the end too.
        return state.retentionClock - since > EndedJobRetention + MaxRetentionClockAdvance;
    };
    FleetChange change{.isApplied = true};
    reduceEndedJobs(state);
    while (!state.endedOrder.empty() && isOld(state.endedOrder.begin()->first)) {
        removeEndedJob(state, state.endedOrder.begin()->second);
        ++change.removedJobs;
    }
    removeCancellations(state, [&isOld](const EarlyCancellation &cancellation) {
        return isOld(cancellation.onClock);
    });
    return change;
}

void removeJobsByWallTime(FleetState &state, WallTime now)
{
    const auto isOld = [now](WallTime at) {
        return now.ms - at.ms > EndedJobRetention.ms;
    };
    reduceEndedJobs(state);
    std::vector<JobNumber> old;
    for (const auto &[number, job] : state.endedJobs) {
        if (isOld(job.endedAt)) {
            old.push_back(number);
        }
    }
    for (const JobNumber number : old) {
        removeEndedJob(state, number);
    }
    removeCancellations(state, [&isOld](const EarlyCancellation &cancellation) {
        return isOld(cancellation.at);
    });
}

} // namespace Filbertlanding
