/**
 * @file scheduler_job_start.cpp Records the first start of each job.
 *
 * A start that the log contains is only an intention: the worker may refuse the order, or may never receive it. A job counts as started once a worker
 * has confirmed the start of one of its tasks, by its answer to the order or by its list of runs. That is recorded in the log, so that the next leader
 * and a core that starts again know it too.
 */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns whether a worker has confirmed a run. */
    bool isRunConfirmed(const FleetScheduler &scheduler, const TaskRef &ref, const ActiveRun &active)
    {
        const auto session = scheduler.sessions.find(active.incarnation);
        if (session == scheduler.sessions.end()) {
            return false;
        }
        const auto run = session->second.runs.find(ref);
        return run != session->second.runs.end() && run->second.run == active.run && run->second.isStartConfirmed;
    }

    /** Returns whether workers have confirmed a run of all tasks of a gang. */
    bool isGangConfirmed(const FleetScheduler &scheduler, const FleetJob &job, const TaskRef &member, std::uint32_t run)
    {
        const auto occurrence = job.occurrences.find(member.occurrence);
        if (occurrence == job.occurrences.end()) {
            return false;
        }
        const std::vector<TaskRecord> &tasks = occurrence->second.steps[member.step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const TaskRef ref{member.job, member.occurrence, member.step, index};
            const bool isConfirmed = std::any_of(tasks[index].active.begin(), tasks[index].active.end(), [&scheduler, &ref, run](const ActiveRun &active) {
                return active.run == run && isRunConfirmed(scheduler, ref, active);
            });
            if (!isConfirmed) {
                return false;
            }
        }
        return true;
    }

} // namespace

void noteStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, std::uint32_t run, SchedulerActions &actions)
{
    const auto view = scheduler.jobs.find(task.job);
    if (view == scheduler.jobs.end() || view->second.isStartProposed) {
        return;
    }
    const FleetJob &job = state.jobs.at(task.job);
    if (job.state != FleetJobState::Queued || task.step >= job.spec.steps.size()) {
        return;
    }
    if (job.spec.steps[task.step].isGang && !isGangConfirmed(scheduler, job, task, run)) {
        return;
    }
    view->second.isStartProposed = true;
    actions.propose.push_back(RecordJobStart{task.job});
}

void confirmStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, RunView &run, SchedulerActions &actions)
{
    if (!run.isStartConfirmed) {
        run.isStartConfirmed = true;
        noteStart(scheduler, state, task, run.run, actions);
    }
}

} // namespace Filbertlanding
