/** @file fleet_state_runs.cpp Applies the commands on runs: their start, their end, and crashes of workers under them. */

#include "account/account_limit.h"
#include "fleet/fleet_state_detail.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Filbertlanding {

namespace {

    /** A task of the replicated state, with its job and step. */
    struct FoundTask {
        FleetJob &job;
        StepRecord &step;
        TaskRecord &task;
    };

    std::optional<FoundTask> findTask(FleetState &state, const TaskRef &ref)
    {
        const auto job = state.jobs.find(ref.job);
        if (job == state.jobs.end()) {
            return std::nullopt;
        }
        const auto occurrence = job->second.occurrences.find(ref.occurrence);
        if (occurrence == job->second.occurrences.end() || ref.step >= occurrence->second.steps.size()) {
            return std::nullopt;
        }
        StepRecord &step = occurrence->second.steps[ref.step];
        if (ref.index >= step.tasks.size()) {
            return std::nullopt;
        }
        return FoundTask{job->second, step, step.tasks[ref.index]};
    }

    /** Returns the task unless its job has ended. */
    std::optional<FoundTask> findOpenTask(FleetState &state, const TaskRef &ref)
    {
        const auto found = findTask(state, ref);
        return found && !hasEnded(found->job.state) ? found : std::nullopt;
    }

    void failJob(FleetJob &job, JobFailure reason, WallTime at, FleetChange &change)
    {
        job.failure = reason;
        endJob(job, FleetJobState::Failed, at, change);
    }

    /** Marks a task as done; for a gang, all of its tasks. */
    void markDone(const StepSpec &spec, StepRecord &step, TaskRecord &task)
    {
        if (!spec.isGang) {
            step.doneCount += task.isDone ? 0 : 1;
            task.isDone = true;
            return;
        }
        for (TaskRecord &member : step.tasks) {
            member.isDone = true;
        }
        step.doneCount = static_cast<std::uint32_t>(step.tasks.size());
    }

    bool isOccurrenceDone(const FleetJob &job, const Occurrence &occurrence)
    {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (occurrence.steps[i].doneCount < job.spec.steps[i].taskCount) {
                return false;
            }
        }
        return true;
    }

    void completeIfDone(FleetJob &job, std::uint32_t number, WallTime at, FleetChange &change)
    {
        Occurrence &occurrence = job.occurrences.at(number);
        if (occurrence.isComplete || !isOccurrenceDone(job, occurrence)) {
            return;
        }
        occurrence.isComplete = true;
        ++job.completeCount;
        if (!hasEnded(job.state) && job.completeCount >= std::max<std::uint32_t>(1, job.spec.repeatCount)) {
            endJob(job, FleetJobState::Completed, at, change);
        }
    }

    /** Counts a failed run. A run of a gang counts once, however many of its members fail. */
    void countFailure(const StepSpec &spec, StepRecord &step, TaskRecord &task, std::uint32_t run)
    {
        if (!spec.isGang) {
            ++task.failures;
            return;
        }
        if (run > step.lastFailedRun) {
            step.lastFailedRun = run;
            ++step.tasks.front().failures;
        }
    }

    /** Records that a task of a job has started. */
    void markStarted(FleetJob &job, FleetChange &change)
    {
        if (job.state == FleetJobState::Queued) {
            job.state = FleetJobState::Running;
            change.isFirstStart = true;
        }
    }

    void applyOutcome(FleetJob &job, const TaskRef &ref, StepRecord &step, TaskRecord &task, const EndRun &end, FleetChange &change)
    {
        const StepSpec &spec = job.spec.steps[ref.step];
        if (impliesStart(spec, end.outcome)) {
            markStarted(job, change);
        }
        if (!end.checkpoint.empty()) {
            task.checkpoint = end.checkpoint;
            for (TaskRecord &member : step.tasks) {
                // All members of a gang resume from the same checkpoint.
                member.checkpoint = spec.isGang ? end.checkpoint : member.checkpoint;
            }
        }
        if (spec.isLongRunning || hasEnded(job.state)) {
            return;
        }
        if (end.outcome == RunOutcome::Done) {
            markDone(spec, step, task);
            completeIfDone(job, ref.occurrence, end.at, change);
            return;
        }
        if (end.outcome != RunOutcome::Failed) {
            return;
        }
        countFailure(spec, step, task, end.run);
        const std::uint32_t failures = spec.isGang ? step.tasks.front().failures : task.failures;
        if (!task.isDone && failures >= job.queue.maxAttempts) {
            failJob(job, JobFailure::AttemptsUsedUp, end.at, change);
        }
    }

} // namespace

FleetChange apply(FleetState &state, const StartRun &command)
{
    FleetChange change;
    const auto found = findOpenTask(state, command.task);
    const auto incarnation = state.incarnations.find(command.incarnation);
    if (!found || incarnation == state.incarnations.end() || incarnation->second.hasEnded) {
        return change;
    }
    const auto &[job, step, task] = *found;
    const bool isFree = task.active.empty() || job.spec.steps[command.task.step].allowsSpeculativeCopies;
    if (task.isDone || !isFree || command.run <= task.lastRun) {
        return change;
    }
    change.isApplied = true;
    change.job = job.number;
    change.incarnation = command.incarnation;
    step.activeCount += task.active.empty() ? 1 : 0;
    task.active.push_back({command.run, command.incarnation, state.appliedAt});
    addUsage(state.accountUsage, job.account.name, job.spec.steps[command.task.step].request);
    task.lastRun = command.run;
    if (command.startsJob) {
        markStarted(job, change);
    }
    return change;
}

FleetChange apply(FleetState &state, const RecordJobStart &command)
{
    FleetChange change;
    const auto job = state.jobs.find(command.job);
    if (job != state.jobs.end() && job->second.state == FleetJobState::Queued) {
        change.isApplied = true;
        change.job = command.job;
        markStarted(job->second, change);
    }
    return change;
}

FleetChange apply(FleetState &state, const EndRun &command)
{
    FleetChange change;
    const auto found = findTask(state, command.task);
    if (!found) {
        return change;
    }
    const auto &[job, step, task] = *found;
    const auto removed = std::erase_if(task.active, [&command](const ActiveRun &run) {
        return run.run == command.run && run.incarnation == command.incarnation;
    });
    if (removed == 0) {
        return change;
    }
    for (std::size_t i = 0; i < removed; ++i) {
        subtractUsage(state.accountUsage, job.account.name, job.spec.steps[command.task.step].request);
    }
    change.isApplied = true;
    change.job = job.number;
    change.incarnation = command.incarnation;
    if (task.active.empty()) {
        --step.activeCount;
        task.idleSince = state.appliedAt;
    }
    applyOutcome(job, command.task, step, task, command, change);
    releaseAfterRun(state, job);
    return change;
}

FleetChange apply(FleetState &state, const RecordCrash &command)
{
    FleetChange change;
    const auto incarnation = state.incarnations.find(command.incarnation);
    if (incarnation == state.incarnations.end() || incarnation->second.hasEnded || std::exchange(incarnation->second.isCrashRecorded, true)) {
        return change;
    }
    change.isApplied = true;
    change.incarnation = command.incarnation;
    std::vector<CrashWitness> witnesses;
    std::vector<FleetJob *> jobs; ///< Jobs of the witnesses, in the same order.
    for (const CrashedRun &crashed : command.runs) {
        const auto found = findOpenTask(state, crashed.task);
        // The run itself may have been ended because of its lease before the worker came back.
        if (found && !found->task.isDone && crashed.run <= found->task.lastRun) {
            witnesses.push_back({&found->task.crashHistory, found->job.number, crashed.isStartKnown, crashed.ranAtLeast, crashed.ranAtMost, crashed.weight});
            jobs.push_back(&found->job);
        }
    }
    recordCrash(witnesses);
    for (std::size_t i = 0; i < witnesses.size(); ++i) {
        if (isCrashCause(*witnesses[i].history) && !hasEnded(jobs[i]->state)) {
            failJob(*jobs[i], JobFailure::CrashesWorkers, command.at, change);
        }
    }
    return change;
}

void removeRunsOn(FleetState &state, FleetJob &job, IncarnationNumber incarnation)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            StepRecord &step = occurrence.steps[i];
            for (TaskRecord &task : step.tasks) {
                const auto removed = std::erase_if(task.active, [incarnation](const ActiveRun &run) {
                    return run.incarnation == incarnation;
                });
                for (std::size_t run = 0; run < removed; ++run) {
                    subtractUsage(state.accountUsage, job.account.name, job.spec.steps[i].request);
                }
                if (removed > 0 && task.active.empty()) {
                    --step.activeCount;
                    task.idleSince = state.appliedAt;
                }
            }
        }
    }
}

AccountUsage countAccountUsage(const FleetState &state)
{
    AccountUsage usage;
    for (const auto &[number, job] : state.jobs) {
        for (const auto &[occurrenceNumber, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                for (const TaskRecord &task : occurrence.steps[i].tasks) {
                    for (std::size_t run = 0; run < task.active.size(); ++run) {
                        addUsage(usage, job.account.name, job.spec.steps[i].request);
                    }
                }
            }
        }
    }
    return usage;
}

} // namespace Filbertlanding
