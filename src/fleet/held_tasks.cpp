/** @file held_tasks.cpp Finds steps whose tasks have waited for long, and what holds each worker back from them. */

#include "fleet/held_tasks.h"

#include "fleet/placement_candidates.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <set>

namespace Filbertlanding {

namespace {

    constexpr Duration CheckInterval{500};
    constexpr Duration MaxWait{2'000}; ///< Wait after which a step counts as held.
    constexpr Duration ReportInterval{4'000}; ///< Minimum time between two reports of one step.
    constexpr std::size_t MaxReportsPerCheck = 10; ///< Each report examines all workers.

    /** A step that may be reported. */
    struct DueStep {
        std::size_t place = 0; ///< Index in the order of service.
        WaitingStep *waiting = nullptr;
    };

    /** Returns the tasks of a step without a run: of a long-running one all, of another one the suspects that are held. */
    std::vector<IdleTask> findIdleTasks(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, TimePoint now)
    {
        std::vector<IdleTask> idle;
        const auto occurrence = job.occurrences.find(step.occurrence);
        if (occurrence == job.occurrences.end()) {
            return idle;
        }
        const std::vector<TaskRecord> &tasks = occurrence->second.steps[step.step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const TaskRecord &task = tasks[index];
            if (task.isDone || !task.active.empty()) {
                continue;
            }
            const bool isHeldSuspect = isHeld(scheduler, {step.job, step.occurrence, step.step, index}, now);
            if (step.isLongRunning || isHeldSuspect) {
                idle.push_back({index, idleTime(scheduler, task, now), isHeldSuspect});
            }
        }
        return idle;
    }

    /** Returns the first task of a step that waits for its start, or else the first suspect that is held; nothing if there is none. */
    std::optional<TaskRef> findTaskToReport(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, TimePoint now)
    {
        const std::vector<std::uint32_t> pending = findPendingTasks(scheduler, job, step, now);
        if (!pending.empty()) {
            return TaskRef{step.job, step.occurrence, step.step, pending.front()};
        }
        const std::vector<IdleTask> idle = findIdleTasks(scheduler, job, step, now);
        return idle.empty() ? std::nullopt : std::optional(TaskRef{step.job, step.occurrence, step.step, idle.front().index});
    }

    /** Counts the long-running tasks without a run, and the suspects that are held. */
    void countIdleTasks(WaitingSteps &waiting, const FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        waiting.idleLongRunningTasks = 0;
        waiting.longestIdle = {};
        for (const ReadyStep &step : scheduler.readySteps) {
            const auto job = scheduler.jobs.contains(step.job) ? state.jobs.find(step.job) : state.jobs.end();
            if (!step.isLongRunning || job == state.jobs.end()) {
                continue;
            }
            for (const IdleTask &task : findIdleTasks(scheduler, job->second, step, now)) {
                ++waiting.idleLongRunningTasks;
                waiting.longestIdle = std::max(waiting.longestIdle, task.idleFor);
            }
        }
        waiting.heldSuspects = static_cast<std::size_t>(std::count_if(scheduler.heldSuspects.begin(), scheduler.heldSuspects.end(), [now](const auto &item) {
            return now < item.second;
        }));
    }

    /** Returns what holds a worker back from one more task of a query's step; nothing if it would take it. */
    std::optional<HoldReason>
    workerHoldReason(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session, const WorkerQuery &query, TimePoint now)
    {
        const auto incarnation = state.incarnations.find(session.incarnation);
        if (incarnation != state.incarnations.end() && !isEligible(query.step, query.service, incarnation->second.profile)) {
            return HoldReason::Ineligible;
        }
        if (query.isHeldByAccountLimit) {
            return HoldReason::AccountLimit;
        }
        if (const auto held = sessionHoldReason(state, session, now)) {
            return held;
        }
        return candidateHoldReason(query, scheduler.candidates.at(session.incarnation));
    }

    /** Counts a worker that would not take a task of the query's step under its reason, and whether it has room for one. */
    void countUnwillingWorker(HoldCounts &counts, HoldReason reason, const WorkerQuery &query, const Resources &free)
    {
        const auto index = static_cast<std::size_t>(reason);
        ++counts.byReason[index];
        if (reason == HoldReason::Ineligible) {
            return;
        }
        if (reason == HoldReason::Cpu) {
            counts.largestFreeCpuMillis = std::max(counts.largestFreeCpuMillis, free.cpuMillis);
        }
        Resources needed = query.step.request;
        if (reason == HoldReason::Memory) {
            needed.memoryMb = 0;
        }
        counts.withRoom[index] += !query.step.usesSpareCapacity && fitsInto(needed, free) ? 1 : 0;
    }

    /** Updates the wait of a step. A start of one of its tasks ends the wait, and another one begins. */
    WaitingStep &updateWait(WaitingSteps &waiting, const ReadyStep &step, std::uint32_t pendingTasks, TimePoint now)
    {
        const auto [entry, isNew] = waiting.steps.try_emplace({step.job, step.occurrence, step.step});
        WaitingStep &wait = entry->second;
        if (isNew || pendingTasks < wait.pendingTasks) {
            wait.since = now;
            wait.nextReport = std::max(wait.nextReport, now + MaxWait);
        }
        if (step.isLongRunning) {
            // The wait of its tasks may have begun under an earlier leader.
            wait.since = now - step.waitedFor;
            wait.nextReport = std::min(wait.nextReport, std::max(now, wait.since + MaxWait));
        }
        wait.pendingTasks = pendingTasks;
        return wait;
    }

    /** Updates the waits of all ready steps, and returns those that may be reported. */
    std::vector<DueStep> updateWaits(WaitingSteps &waiting, const FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        std::vector<DueStep> due;
        std::set<std::tuple<JobNumber, std::uint32_t, std::uint32_t>> present;
        std::set<JobNumber> heldJobs;
        for (std::size_t i = 0; i < scheduler.readySteps.size(); ++i) {
            const ReadyStep &step = scheduler.readySteps[i];
            const auto job = scheduler.jobs.contains(step.job) ? state.jobs.find(step.job) : state.jobs.end();
            const std::uint32_t pendingTasks = job == state.jobs.end() ? 0 : countPendingTasks(scheduler, job->second, step.occurrence, step.step);
            if (pendingTasks == 0) {
                continue;
            }
            present.insert({step.job, step.occurrence, step.step});
            WaitingStep &wait = updateWait(waiting, step, pendingTasks, now);
            if (now - wait.since < MaxWait) {
                continue;
            }
            heldJobs.insert(step.job);
            if (now >= wait.nextReport) {
                due.push_back({i, &wait});
            }
        }
        std::erase_if(waiting.steps, [&present](const auto &item) {
            return !present.contains(item.first);
        });
        waiting.heldJobs = heldJobs.size();
        return due;
    }

    /** Examines all workers for the first waiting task of a step, with the permissions that a placement pass would give it. */
    HeldStep examine(const FleetScheduler &scheduler,
                     const FleetState &state,
                     const std::vector<PlacementCandidate *> &candidates,
                     const DueStep &due,
                     const TaskRef &task,
                     TimePoint now)
    {
        const ReadyStep &step = scheduler.readySteps[due.place];
        const FleetJob &job = state.jobs.at(step.job);
        const StepSpread spread = spreadOf(scheduler, job, step);
        const bool isServiceIdle = findIdleServices(candidates).contains(job.queue.service);
        const bool hasAvoided = std::any_of(candidates.begin(), candidates.end(), [](const PlacementCandidate *candidate) {
            return candidate->isAvoided || candidate->isReservedForSuspects;
        });
        const FailedRun *failed = findFailedRun(scheduler, task, now);
        WorkerQuery query{.step = job.spec.steps[step.step],
                          .service = job.queue.service,
                          .spread = spread,
                          .interference = scheduler.learnedModel.interference,
                          .slopes = *scheduler.slopes,
                          .stepRef = {step.job, step.occurrence, step.step}};
        query.harmTolerance = getsTaskAtAnyHarm(step, isServiceIdle) ? HarmTolerance::Any : toleratedHarm(step, isServiceIdle, now);
        query.excluded = failed == nullptr ? 0 : failed->incarnation;
        query.suspicion = suspicionOf(job.occurrences.at(task.occurrence).steps[task.step].tasks[task.index].crashHistory);
        query.isHeldByAccountLimit = step.isHeldByAccountLimit;
        HeldStep held;
        held.task = task;
        held.pendingTasks = due.waiting->pendingTasks;
        held.waitedFor = now - due.waiting->since;
        held.idleTasks = findIdleTasks(scheduler, job, step, now);
        held.place = due.place + 1;
        held.readySteps = scheduler.readySteps.size();
        held.harmTolerance = query.harmTolerance;
        query.acceptsSlow = acceptsSlowNow(query.step, idleTime(scheduler, job.occurrences.at(task.occurrence).steps[task.step].tasks[task.index], now));
        held.workers = countHoldReasons(scheduler, state, query, now);
        if (held.workers.willing == 0 && acceptLastResort(query, failed, hasAvoided, candidates, now)) {
            held.workers = countHoldReasons(scheduler, state, query, now);
        }
        return held;
    }

} // namespace

HoldCounts countHoldReasons(const FleetScheduler &scheduler, const FleetState &state, const WorkerQuery &query, TimePoint now)
{
    HoldCounts counts;
    for (const auto &[number, session] : scheduler.sessions) {
        const auto reason = workerHoldReason(scheduler, state, session, query, now);
        const auto incarnation = state.incarnations.find(number);
        if (!reason) {
            ++counts.willing;
        } else if (incarnation != state.incarnations.end()) {
            countUnwillingWorker(counts, *reason, query, usableCapacity(session, incarnation->second.profile.capacity) - session.used);
        }
    }
    return counts;
}

std::vector<HeldStep> checkWaitingSteps(WaitingSteps &waiting, FleetScheduler &scheduler, const FleetState &state, TimePoint now)
{
    std::vector<HeldStep> reports;
    if (now < waiting.nextCheck) {
        return reports;
    }
    waiting.nextCheck = now + CheckInterval;
    countIdleTasks(waiting, scheduler, state, now);
    std::vector<DueStep> due = updateWaits(waiting, scheduler, state, now);
    if (due.empty()) {
        return reports;
    }
    std::stable_sort(due.begin(), due.end(), [](const DueStep &left, const DueStep &right) {
        return left.waiting->nextReport < right.waiting->nextReport;
    });
    due.resize(std::min(due.size(), MaxReportsPerCheck));
    const std::vector<PlacementCandidate *> candidates = usableWorkers(scheduler, state, now);
    for (const DueStep &step : due) {
        const ReadyStep &ready = scheduler.readySteps[step.place];
        const auto task = findTaskToReport(scheduler, state.jobs.at(ready.job), ready, now);
        if (task) {
            reports.push_back(examine(scheduler, state, candidates, step, *task, now));
            step.waiting->nextReport = now + ReportInterval;
        }
    }
    return reports;
}

std::string formatHoldCounts(const HoldCounts::ByReason &counts)
{
    std::string text;
    for (const auto &row : HoldReasonNames.rows) {
        const std::uint32_t count = counts[static_cast<std::size_t>(row.value)];
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::string(row.name) + " " + std::to_string(count);
        }
    }
    return text;
}

std::string formatIdleTasks(const std::vector<IdleTask> &tasks)
{
    std::string text;
    for (const IdleTask &task : tasks) {
        text += (text.empty() ? "" : ", ") + std::to_string(task.index) + ": " + std::to_string(task.idleFor.ms) + (task.isHeldSuspect ? " held" : "");
    }
    return text;
}

} // namespace Filbertlanding
