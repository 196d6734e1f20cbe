/** @file scheduler_ready.cpp Finds the steps whose tasks are to be placed, and which of their tasks wait for it. */

#include "fleet/account_standing.h"
#include "fleet/scheduler_detail.h"
#include "fleet/service_order.h"
#include "fleet/state_memory.h"

#include <algorithm>
#include <span>

namespace Filbertlanding {

bool isHeld(const FleetScheduler &scheduler, const TaskRef &ref, TimePoint now)
{
    const auto held = scheduler.heldSuspects.find(ref);
    return held != scheduler.heldSuspects.end() && now < held->second;
}

bool isPending(const FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task, TimePoint now)
{
    return !task.isDone && task.active.empty() && !scheduler.proposedStarts.contains(ref) && !isHeld(scheduler, ref, now);
}

Duration idleTime(const FleetScheduler &scheduler, const TaskRecord &task, TimePoint now)
{
    // A replica that was started from a snapshot knows no earlier time than the start of its leadership.
    const TimePoint since = task.idleSince.ms > 0 ? task.idleSince : scheduler.since;
    return std::max(Duration{0}, now - since);
}

std::vector<std::uint32_t> findPendingTasks(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, TimePoint now)
{
    std::vector<std::uint32_t> pending;
    const auto occurrence = job.occurrences.find(step.occurrence);
    if (occurrence == job.occurrences.end()) {
        return pending;
    }
    const std::vector<TaskRecord> &tasks = occurrence->second.steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (isPending(scheduler, {step.job, step.occurrence, step.step, index}, tasks[index], now)) {
            pending.push_back(index);
        }
    }
    if (job.spec.steps[step.step].isLongRunning) {
        std::stable_sort(pending.begin(), pending.end(), [&](std::uint32_t left, std::uint32_t right) {
            return idleTime(scheduler, tasks[left], now) > idleTime(scheduler, tasks[right], now);
        });
    }
    return pending;
}

std::uint32_t countPendingTasks(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t occurrence, std::uint32_t step)
{
    const auto open = job.occurrences.find(occurrence);
    if (open == job.occurrences.end()) {
        return 0;
    }
    const StepRecord &record = open->second.steps[step];
    const auto first = scheduler.proposedStarts.lower_bound({job.number, occurrence, step, 0});
    const auto last = scheduler.proposedStarts.lower_bound({job.number, occurrence, step + 1, 0});
    const auto proposed = static_cast<std::uint32_t>(std::distance(first, last));
    const std::uint32_t taken = record.doneCount + record.activeCount + proposed;
    return job.spec.steps[step].taskCount - std::min(taken, job.spec.steps[step].taskCount);
}

namespace {

    /** Returns whether a task of a job runs, or its start is proposed. */
    bool hasRuns(const FleetScheduler &scheduler, const FleetJob &job)
    {
        const auto proposed = scheduler.proposedStarts.lower_bound({job.number, 0, 0, 0});
        if (proposed != scheduler.proposedStarts.end() && proposed->first.job == job.number) {
            return true;
        }
        return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
            return std::any_of(item.second.steps.begin(), item.second.steps.end(), [](const StepRecord &step) {
                return step.activeCount > 0;
            });
        });
    }

    /**
     * Marks the steps of a job that has had nothing running for too long. A job on time waits for a better worker in its own interest, and becomes late
     * while it does.
     */
    void markStarvedSteps(const FleetScheduler &scheduler, const FleetJob &job, JobView &view, TimePoint now, std::span<ReadyStep> steps)
    {
        constexpr Duration MaxIdleTime{1'500}; // Longer than the gap between two runs of a job.
        if (steps.empty() || hasRuns(scheduler, job)) {
            view.idleSince.reset();
            return;
        }
        view.idleSince = view.idleSince.value_or(now);
        for (ReadyStep &step : steps) {
            step.isStarved = now - *view.idleSince >= MaxIdleTime && deadlineStatus(step, now) != DeadlineStatus::OnTime;
        }
    }

    /** Returns the longest time for which a task of a step has had no run. */
    Duration longestIdleTime(const FleetScheduler &scheduler, const StepRecord &step, TimePoint now)
    {
        Duration longest;
        for (const TaskRecord &task : step.tasks) {
            if (!task.isDone && task.active.empty()) {
                longest = std::max(longest, idleTime(scheduler, task, now));
            }
        }
        return longest;
    }

    /** CPU seconds of an occurrence. */
    struct OccurrenceWork {
        double total = 0;
        double started = 0; ///< Part of it that is done or under way.
    };

    OccurrenceWork workOf(const FleetJob &job, const JobView &view, const Occurrence &occurrence)
    {
        OccurrenceWork work;
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const StepRecord &record = occurrence.steps[i];
            work.total += view.taskSeconds[i] * job.spec.steps[i].taskCount;
            work.started += view.taskSeconds[i] * (record.doneCount + record.activeCount);
        }
        return work;
    }

    /** Returns whether the work of a job counts as waiting: long-running steps have no end, and a repeated job opens its work when it is due. */
    bool isShortJob(const FleetJob &job)
    {
        return job.spec.repeatCount == 0 && std::none_of(job.spec.steps.begin(), job.spec.steps.end(), [](const StepSpec &step) {
                   return step.isLongRunning;
               });
    }

    /** Returns what waits of a short job, from its ready steps; nothing if it precedes no later job. */
    std::optional<WaitingShortJob> waitingShortJob(const FleetJob &job, const JobView &view, TimePoint now, std::span<const ReadyStep> steps)
    {
        const bool precedesOthers = std::any_of(steps.begin(), steps.end(), [now](const ReadyStep &step) {
            return hasOnTimeRank(step, now);
        });
        if (!precedesOthers) {
            return std::nullopt;
        }
        WaitingShortJob waiting{.latestStart = latestStart(steps.front())};
        for (const ReadyStep &step : steps) {
            waiting.latestStart = std::min(waiting.latestStart, latestStart(step));
        }
        const OccurrenceWork work = workOf(job, view, job.occurrences.at(0));
        waiting.cpuSeconds = std::max(0.0, work.total - work.started);
        return waiting;
    }

    /** Returns what a job waits for, from its ready steps, and what it uses for long. */
    WaitingWork waitingWorkOf(const FleetJob &job, const JobView &view, TimePoint now, std::span<const ReadyStep> steps)
    {
        WaitingWork work;
        if (isShortJob(job)) {
            work.shortJob = waitingShortJob(job, view, now, steps);
            work.longestWait = job.state == FleetJobState::Queued && !steps.empty() ? now - view.acceptedAt : Duration{};
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                if (job.spec.steps[i].isLongRunning) {
                    work.usedByLongRunning = work.usedByLongRunning + job.spec.steps[i].request * occurrence.steps[i].activeCount;
                }
            }
        }
        work.hasWaitingTasks = !steps.empty();
        for (const ReadyStep &step : steps) {
            work.longestWait = std::max(work.longestWait, step.waitedFor);
        }
        return work;
    }

    void addReadySteps(const FleetScheduler &scheduler, const FleetJob &job, JobView &view, TimePoint now, std::vector<ReadyStep> &ready)
    {
        if (view.isStale) {
            refreshJobView(scheduler, job, view);
        }
        const std::size_t before = ready.size();
        for (const auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isComplete) {
                continue;
            }
            const OccurrenceWork work = workOf(job, view, occurrence);
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepRecord &record = occurrence.steps[i];
                const StepSpec &spec = job.spec.steps[i];
                if (record.doneCount + record.activeCount >= spec.taskCount || !isStepReady(job, occurrence, i)) {
                    continue;
                }
                ReadyStep step{.job = job.number, .occurrence = number, .step = i, .priority = job.queue.priority};
                step.pendingTasks = countPendingTasks(scheduler, job, number, i);
                if (step.pendingTasks == 0) {
                    continue;
                }
                step.isLongRunning = spec.isLongRunning;
                step.waitedFor = spec.isLongRunning ? longestIdleTime(scheduler, record, now) : Duration{};
                step.usesSpareCapacity = spec.usesSpareCapacity;
                step.requestedCpuMillis = spec.request.cpuMillis;
                step.acceptedAt = view.acceptedAt;
                step.objectiveDeadline = view.objectiveDeadline;
                step.remainingCriticalPath = view.criticalPathFrom[i];
                step.startedShare = work.started / work.total;
                step.valueDensity = valueDensity(work.total, work.started);
                ready.push_back(step);
            }
        }
        markStarvedSteps(scheduler, job, view, now, std::span(ready).subspan(before));
    }

    /** Memory of jobs, and of occurrences that a placement pass has proposed to open, beyond what is reserved for their jobs. */
    struct OccurrenceBudget {
        std::size_t usedBytes = 0;
        std::size_t maxBytes = 0;
    };

    /** Takes the memory of another occurrence from the budget unless it is reserved. Returns whether the occurrence may be opened. */
    bool takeOccurrenceMemory(OccurrenceBudget &budget, const FleetJob &job, std::uint32_t incompleteOccurrences)
    {
        if (incompleteOccurrences < ReservedOccurrences) {
            return true;
        }
        const std::size_t bytes = estimateOccurrenceMemory(job.spec);
        if (budget.usedBytes + bytes > budget.maxBytes) {
            return false;
        }
        budget.usedBytes += bytes;
        return true;
    }

    /** Proposes to open the occurrences that are due. Any number may be due at once, so the number of incomplete ones and their memory are limited. */
    void openDueOccurrences(JobView &view, const FleetJob &job, OccurrenceBudget &budget, WallTime wall, SchedulerActions &actions)
    {
        constexpr std::uint32_t MaxIncompleteOccurrences = 64;
        const std::uint32_t end = std::min(job.spec.repeatCount, job.completeCount + MaxIncompleteOccurrences);
        while (view.openedOccurrences < end && wall.ms >= job.spec.startAt.ms + job.spec.interval.ms * view.openedOccurrences) {
            if (!takeOccurrenceMemory(budget, job, view.openedOccurrences - job.completeCount)) {
                return;
            }
            actions.propose.push_back(OpenOccurrence{job.number, view.openedOccurrences});
            ++view.openedOccurrences;
        }
    }

} // namespace

StepSpread spreadOf(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step)
{
    StepSpread spread;
    for (const TaskRecord &task : job.occurrences.at(step.occurrence).steps[step.step].tasks) {
        for (const ActiveRun &run : task.active) {
            ++spread[run.incarnation];
        }
    }
    const auto first = scheduler.proposedStarts.lower_bound({step.job, step.occurrence, step.step, 0});
    const auto last = scheduler.proposedStarts.lower_bound({step.job, step.occurrence, step.step + 1, 0});
    for (auto proposed = first; proposed != last; ++proposed) {
        ++spread[proposed->second];
    }
    return spread;
}

std::vector<ReadyStep> collectReadySteps(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    std::vector<ReadyStep> ready;
    AccountStandings standings;
    OccurrenceBudget budget{state.memory.jobs, scheduler.settings.openJobsBytes};
    for (auto &[number, view] : scheduler.jobs) {
        const FleetJob &job = state.jobs.at(number);
        openDueOccurrences(view, job, budget, wall, actions);
        const std::size_t before = ready.size();
        addReadySteps(scheduler, job, view, now, ready);
        if (!job.account.name.empty()) {
            addWaitingWork(standings, job.account, waitingWorkOf(job, view, now, std::span(ready).subspan(before)));
        }
    }
    setUsage(standings, scheduler.accounts, scheduler, state);
    scheduler.accounts = std::move(standings);
    return ready;
}

} // namespace Filbertlanding
