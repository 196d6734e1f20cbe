/**
 * @file scheduler_job_start.cpp Records the first start of each job.
 *
 * A start that the log contains is only an intention: the worker may refuse the order, or may never receive it. A job counts as started once a worker
 * has confirmed the start of one of its tasks, by its answer to the order or by its list of runs. That is recorded in the log, so that the next leader
 * and a core that starts again know it too.
 */

#include "fleet/scheduler_detail.h"

#include <utility>

namespace Filbertlanding {

namespace {

    /** Returns whether a job may still have to be recorded as started. */
    bool isStartUnknown(const FleetState &state, const JobView &view, JobNumber job)
    {
        return !view.isStartProposed && state.jobs.at(job).state == FleetJobState::Queued;
    }

    void proposeJobStart(JobView &view, JobNumber job, SchedulerActions &actions)
    {
        view.isStartProposed = true;
        view.gangStarts.clear();
        actions.propose.push_back(RecordJobStart{job});
    }

    /** Counts a confirmed task of a gang, each one once. Returns whether all tasks of the run are confirmed. */
    bool countGangTask(JobView &view, const StepSpec &step, const TaskRef &task, std::uint32_t run)
    {
        GangStart &start = view.gangStarts[{task.occurrence, task.step}];
        if (run > start.run) {
            start = {run, 0};
        }
        start.confirmedTasks += run == start.run ? 1 : 0;
        return run == start.run && start.confirmedTasks >= step.taskCount;
    }

} // namespace

void noteStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, SchedulerActions &actions)
{
    const auto view = scheduler.jobs.find(task.job);
    if (view == scheduler.jobs.end() || !isStartUnknown(state, view->second, task.job)) {
        return;
    }
    const std::vector<StepSpec> &steps = state.jobs.at(task.job).spec.steps;
    if (task.step < steps.size() && !steps[task.step].isGang) {
        proposeJobStart(view->second, task.job, actions);
    }
}

void confirmStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, RunView &run, SchedulerActions &actions)
{
    if (std::exchange(run.isStartConfirmed, true)) {
        return;
    }
    const auto view = scheduler.jobs.find(task.job);
    if (view == scheduler.jobs.end() || !isStartUnknown(state, view->second, task.job)) {
        return;
    }
    const StepSpec &step = state.jobs.at(task.job).spec.steps[task.step];
    if (!step.isGang || countGangTask(view->second, step, task, run.run)) {
        proposeJobStart(view->second, task.job, actions);
    }
}

} // namespace Filbertlanding
