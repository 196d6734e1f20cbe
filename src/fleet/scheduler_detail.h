/** @file scheduler_detail.h Internal functions shared by the source files of the scheduler. */

#pragma once

#include "fleet/fleet_scheduler_func.h"

namespace Filbertlanding {

constexpr Duration ModelSaveInterval{5'000}; ///< A new leader lacks at most this much of the learned model; saving it more often would only use log space.

/** Calls a function with the reference and the record of each task of a job. */
template<class Function>
void forEachTask(const FleetJob &job, Function function)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<TaskRecord> &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                function(TaskRef{job.number, number, step, index}, tasks[index]);
            }
        }
    }
}

/** Returns the view of a run of a task of the step. */
RunView makeRunView(const StepSpec &step, std::uint32_t run, RunPhase phase, TimePoint now);

/** Recomputes the critical paths, the deadline and the work of the tasks of a job from the expected run times. */
void refreshJobView(const FleetScheduler &scheduler, const FleetJob &job, JobView &view);

/** Returns the expected run time of a task of a step, based on the runs on all workers except one; 0 excludes none. */
RunTimeEstimate expectedTaskTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step, IncarnationNumber excluded);

/** Updates the progress of a run from a worker's list. */
void updateRunProgress(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t percent, std::int64_t clockMs);

/** Updates the run time model from a run that is done. */
void learnFromCompletedRun(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t clockMs);

/** Adds the scheduling data of an active job. */
JobView &addJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now, WallTime wall);

/** Removes the scheduling data of a job and its tasks. */
void removeJob(FleetScheduler &scheduler, JobNumber job);

/** Returns the name by which workers know a task. */
TaskName taskName(const FleetJob &job, const TaskRef &task);

/** Returns the task with a name; nothing if its job is unknown. */
std::optional<TaskRef> findTaskRef(const FleetState &state, const TaskName &name);

/** Proposes the end of a run, unless it has been proposed already. */
void proposeRunEnd(WorkerSession &session, const TaskRef &task, RunView &run, RunOutcome outcome, WallTime wall, SchedulerActions &actions);

/** Proposes the end of a run that its worker has not listed as ended, unless it has been proposed already, and notes the reason. */
void presumeRunEnd(const FleetState &state,
                   WorkerSession &session,
                   const TaskRef &task,
                   RunView &run,
                   RunNoticeKind reason,
                   TimePoint now,
                   WallTime wall,
                   SchedulerActions &actions);

/** Notes something about a run for the log. */
void noteRun(const WorkerSession &session, RunNoticeKind kind, const TaskName &task, std::uint32_t run, TimePoint now, SchedulerActions &actions);

/** Proposes to count the crash of an incarnation for the tasks that ran on it, unless something else than a task has ended its process. */
void proposeCrash(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Removes old crashes, and returns how often other workers than one crash at present. Those that are silent may have crashed too. */
CrashRate crashRate(FleetScheduler &scheduler, const WorkerSession &crashed, TimePoint now);

/** Counts the end of a worker's process, whose host refuses connections, for the queues of all runs that had just started. */
void noteEarlyCrash(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session);

/**
 * Keeps a run that ends because of its lease as one that a crash of its worker may concern. A strong suspect is held until the worker is back and
 * tells whether it has crashed, or for some seconds.
 */
void keepExpiredRun(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, const RunView &run, TimePoint now);

/** Returns the outcome of a run that has ended with its worker. */
RunOutcome lossOutcome(const WorkerSession &session, const RunView &run);

/** Proposes the end of an incarnation and of its runs, unless it has been proposed already. */
void proposeIncarnationEnd(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Sends an order and records it as pending. */
void sendOrder(FleetScheduler &scheduler,
               const FleetState &state,
               WorkerSession &session,
               WorkerOrder order,
               PendingOrder pendingOrder,
               TimePoint now,
               SchedulerActions &actions);

/** Sends a poll if one is due. */
void sendPoll(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions);

/** Withdraws starts that would bring a worker over its present capacity, unless the worker itself refuses them. */
void withdrawStartsOverCapacity(const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Sends the start, stop and throttle orders of a worker that are due. */
void sendRunOrders(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions);

/** Proposes the end of the runs of an unresponsive worker once its lease has certainly expired, and of the runs of a replaced incarnation. */
void expireRuns(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Returns whether an incarnation was replaced and its latest successor has ended, so that no successor accounts for its runs any more. */
bool hasSuccessorEnded(const FleetState &state, const WorkerSession &session);

/** Makes the next tick process a session. */
void markDirty(FleetScheduler &scheduler, WorkerSession &session);

/** Notes that a worker has started a run of a task which the replicated state does not assign to it. A single task of a gang tells nothing. */
void noteStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, SchedulerActions &actions);

/** Notes that a worker has confirmed the start of a run, and proposes to record the start of its job unless that is known. */
void confirmStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, RunView &run, SchedulerActions &actions);

/** Starts tasks of ready steps on workers with sufficient capacity. */
void placeTasks(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions);

/**
 * Proposes to open the occurrences that are due, and returns the steps with tasks to place, job by job. Renews the standings of the accounts, except for
 * their shares.
 */
std::vector<ReadyStep> collectReadySteps(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions);

/** Returns whether a task is a strong suspect that is held until it is known whether its worker has crashed. */
bool isHeld(const FleetScheduler &scheduler, const TaskRef &ref, TimePoint now);

/** Returns whether a task waits for its start to be proposed. */
bool isPending(const FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task, TimePoint now);

/**
 * Returns the time for which a task without a run has had none: since its last run has ended or its
 * occurrence was opened. It does not depend on the leader, but a replica that was started from a snapshot counts from the start of its leadership.
 */
Duration idleTime(const FleetScheduler &scheduler, const TaskRecord &task, TimePoint now);

/** Returns the indices of the tasks of a step that wait for their start to be proposed: those of a long-running step by their wait, the longest first. */
std::vector<std::uint32_t> findPendingTasks(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, TimePoint now);

/** Returns the number of tasks of a step without an active run or a proposed start. */
std::uint32_t countPendingTasks(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t occurrence, std::uint32_t step);

/** Returns the number of tasks of a step on each worker: those that run, and those whose start is proposed. */
StepSpread spreadOf(const FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step);

/** Returns the latest failed run of a task if the next one should be placed on another worker. */
const FailedRun *findFailedRun(const FleetScheduler &scheduler, const TaskRef &ref, TimePoint now);

/** Returns whether a task without a run may use a worker that is avoided for slow or failing tasks if no other one has room now. */
bool acceptsSlowNow(const StepSpec &step, Duration idleFor);

/**
 * Lets a query choose avoided workers, and after a while the one on which the task has just failed, if no other worker may run the task. Returns
 * whether the query has changed.
 */
bool acceptLastResort(WorkerQuery &query, const FailedRun *failed, bool hasAvoided, const std::vector<PlacementCandidate *> &candidates, TimePoint now);

/** Stops tasks on a draining worker so that they are started elsewhere. */
void evacuateDrainingWorker(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now);

/** Migrates or copies stalled and slow tasks, and suspends placements on their worker. */
void checkProgress(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now);

/**
 * Adjusts the speed limits of tasks that use spare capacity to the tail latency of long-running tasks on the same worker, and moves tasks that stand
 * still.
 */
void adjustSpeedLimits(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now);

/** Returns why no new tasks may be placed on a worker, whatever the task; nothing if they may. */
std::optional<HoldReason> sessionHoldReason(const FleetState &state, const WorkerSession &session, TimePoint now);

/** Returns whether new tasks may be placed on a worker. */
bool isUsable(const FleetState &state, const WorkerSession &session, TimePoint now);

} // namespace Filbertlanding
