/** @file scheduler_detail.h Functions that the parts of the scheduler share. Not for other folders. */

#pragma once

#include "fleet/fleet_scheduler_func.h"

namespace Filbertlanding {

/** Returns the view of a task that is to run: its room and what matters for orders. */
RunView makeRunView(const StepSpec &step, std::uint32_t run, RunPhase phase, TimePoint now);

/** Computes chains, objective and density of a job from what is known of its run times. */
void refreshJobView(const FleetScheduler &scheduler, const FleetJob &job, JobView &view);

/** Returns the run time that is expected of a task of a step, by the runs on all workers but one; 0 leaves none out. */
RunTimeEstimate expectedTaskTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step, IncarnationNumber excluded);

/** Notes what a worker lists of a run's progress. */
void updateRunProgress(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t percent, std::int64_t clockMs);

/** Learns from a run that is done. */
void learnFromCompletedRun(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t clockMs);

/** Forgets what is known of the tasks of a job. */
void removeJob(FleetScheduler &scheduler, JobNumber job);

/** Returns a task's name as workers know it. */
TaskName taskName(const FleetJob &job, const TaskRef &task);

/** Returns the task of a name, if its job is known. */
std::optional<TaskRef> findTaskRef(const FleetState &state, const TaskName &name);

/** Makes the end of a run a command for the log. */
void proposeRunEnd(WorkerSession &session, const TaskRef &task, RunView &run, RunOutcome outcome, WallTime wall, SchedulerActions &actions);

/** Makes the end of a life a command for the log. */
void proposeIncarnationEnd(WorkerSession &session, SchedulerActions &actions);

/** Adds an order and notes it as open. */
void sendOrder(
    FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, WorkerOrder order, PendingOrder open, TimePoint now, SchedulerActions &actions);

/** Sends a look if one is due. */
void sendPoll(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions);

/** Sends the starts, stops and paces of a worker that are due. */
void sendRunOrders(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions);

/** Gives up the runs of a worker that does not answer, once its lease has surely ended, and those of a life that another one follows. */
void expireRuns(const FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Has the next tick look at a worker. */
void markDirty(FleetScheduler &scheduler, WorkerSession &session);

/** Starts tasks whose turn has come on workers with room. */
void placeTasks(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Moves tasks off workers that drain. */
void evacuateDrainingWorker(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now);

/** Has tasks that stand or are slow run elsewhere, and keeps further ones off the worker. */
void checkProgress(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now);

/** Adapts the pace of tasks in spare room to the lasting tasks beside them. */
void adjustSpeedLimits(FleetScheduler &scheduler, WorkerSession &session, TimePoint now);

/** Returns whether a worker may be given new tasks. */
bool isUsable(const FleetState &state, const WorkerSession &session, TimePoint now);

} // namespace Filbertlanding
