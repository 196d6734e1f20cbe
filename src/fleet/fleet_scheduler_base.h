/** @file fleet_scheduler_base.h Scheduler state that the leader keeps in addition to the replicated state. It is discarded at the end of the leadership. */

#pragma once

#include "account/submission_rate.h"
#include "fleet/account_standing.h"
#include "fleet/fleet_command.h"
#include "fleet/fleet_state_base.h"
#include "fleet/learned_model.h"
#include "fleet/long_running_admission.h"
#include "fleet/place_run.h"
#include "fleet/queue_risk.h"
#include "fleet/run_notice_type.h"
#include "fleet/service_order.h"
#include "fleet/worker_session.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Filbertlanding {

/** Scheduler settings, derived from the daemon settings. */
struct SchedulerSettings {
    Duration taskLease{4'500}; ///< Duration of a worker's lease, under which all of its tasks run.
    Duration longestLease{10'000}; ///< Upper bound to which workers cap the leases that they are given.
    Duration pollWait{2'000}; ///< Maximum time for which a poll waits for a run to end.
    Duration orderTimeout{400}; ///< Response timeout of an order; a poll adds its wait.
    Duration stopTimeout{200}; ///< Maximum time that a worker takes to stop a task.
    Duration restoreTime{250}; ///< Time that a task needs to resume from a checkpoint.
    std::int64_t farFactor = 2; ///< Factor by which tasks run longer outside of the rack of their data.
    Duration paceDelay{100}; ///< Time until a changed speed limit takes effect.
    std::size_t openJobsBytes =
        std::numeric_limits<std::size_t>::max(); ///< Memory of jobs above which an occurrence is not opened, unless it has memory reserved.
    Duration harmLimit{4'000}; ///< Maximum time for which tasks that use spare capacity may keep a long-running task over its latency target.
};

/** Run times observed for one step, over all occurrences of its job. */
struct StepEvidence {
    RunTimeEvidence total;
    std::map<IncarnationNumber, RunTimeEvidence> byWorker; ///< Contribution of each worker, so that a worker can be compared with the others.
};

/** How many tasks of a gang workers have confirmed. */
struct GangStart {
    std::uint32_t run = 0; ///< Number of the run that is counted.
    std::uint32_t confirmedTasks = 0;
};

/** Scheduling data of a job. */
struct JobView {
    std::vector<Duration> criticalPathFrom; ///< Expected duration of the critical path from the start of each step to the end of the job.
    std::map<std::uint32_t, StepEvidence> evidence; ///< Observed run times by step.
    bool isStale = true; ///< Run times were observed since the fields that depend on them were computed.
    TimePoint acceptedAt;
    TimePoint objectiveDeadline; ///< Time by which the job must complete to meet its latency objective.
    std::vector<double> taskSeconds; ///< Expected CPU seconds of a task of each step.
    std::optional<TimePoint> idleSince; ///< Time since which the job has had nothing running although a step was ready; nothing while something runs.
    std::map<std::pair<std::uint32_t, std::uint32_t>, GangStart> gangStarts; ///< By occurrence and step; unused once the start of the job is proposed.
    bool isStartProposed = false; ///< It is proposed to record that a task of the job has started.
    bool hasSuspects = false; ///< Workers have crashed under tasks of the job, so that these are placed in another way than like ones.
    std::uint32_t openedOccurrences = 0; ///< Occurrences that are open, or whose opening has been proposed.
};

/** The latest failed run of a task. */
struct FailedRun {
    IncarnationNumber incarnation = 0; ///< Incarnation on which it failed.
    TimePoint at;
    unsigned failures = 0; ///< Number of failed runs of the task since the last one that was done.
};

/** A worker that is left to a step; see capacity_hold.h. */
struct CapacityHold {
    StepRef step;
    Resources request; ///< What a task of the step reserves.
    TimePoint until; ///< The hold ends then, whether or not the worker has room.
};

/** Output of the scheduler, to be executed by the daemon. */
struct SchedulerActions {
    std::vector<FleetCommand> propose; ///< Commands to propose to the replicated log; the scheduler is notified when they are applied.
    std::vector<WorkerOrder> orders; ///< Orders to send to workers.
    std::vector<RunNotice> notices; ///< To be logged and counted.
    bool isDeposed = false; ///< A worker has seen a higher fence, so another leader is active.
};

/** An order that was sent and has no response yet. */
struct PendingOrder {
    OrderKind kind = OrderKind::Poll;
    IncarnationNumber incarnation = 0;
    TaskRef task; ///< Task of a start, stop or throttle order.
    std::uint32_t run = 0;
    bool isOrphan = false; ///< Stop of a run that the replicated state does not assign to the worker.
    TaskName orphanTask; ///< Task of the orphan run.
    std::uint64_t committedThrough = 0; ///< Poll: number of the last end that the worker may discard.
    std::uint64_t fence = 0; ///< Fencing token of the order.
    std::optional<std::int64_t> minWorkerClockMs; ///< Lower bound of the worker's clock when the order was sent.
};

/** The scheduler during one leadership. */
struct FleetScheduler {
    SchedulerSettings settings;
    std::uint64_t term = 0; ///< Raft term of the leadership; the upper bits of all fences.
    TimePoint since; ///< Start of the leadership.
    std::map<IncarnationNumber, WorkerSession> sessions; ///< Sessions with all incarnations that have not ended.
    std::map<JobNumber, JobView> jobs; ///< Jobs that have not ended.
    std::map<TaskRef, FailedRun> failedRuns; ///< Latest failed run of each task; the next run is placed on another worker where possible.
    std::map<TaskRef, IncarnationNumber> proposedStarts; ///< Workers of the proposed starts that are not applied yet.
    std::map<std::uint64_t, PendingOrder> pendingOrders; ///< Orders without a response, by order number.
    std::deque<TimePoint> recentCrashes; ///< Times at which ends of workers' processes were found.
    std::map<TaskRef, TimePoint> heldSuspects; ///< Strong suspects whose worker is silent, with the time until which they are not started elsewhere.
    QueueRisks queueRisks; ///< Queues whose tasks have recently crashed workers.
    LearnedModel learnedModel; ///< Model of run times and of interference between images.
    TimePoint nextModelSave; ///< Next time at which the learned model is saved to the log.
    TimePoint retentionCountedUntil; ///< Time up to which the retention clock has been advanced in this leadership.
    std::map<TaskRef, unsigned> migrationCounts; ///< Number of times that a task was migrated because of its progress.
    std::set<TaskRef> migratingTasks; ///< Tasks that were stopped because of their progress and have no new placement yet.
    std::shared_ptr<const SlopeTable> slopes; ///< Slopes with which the candidates were computed; null before the first placement.
    std::map<IncarnationNumber, PlacementCandidate> candidates; ///< Placement candidates of the workers; refreshed lazily by each placement pass.
    std::map<IncarnationNumber, CapacityHold> capacityHolds; ///< Workers that are held for steps with large requests.
    std::map<TaskRef, IncarnationNumber> requestedCopies; ///< Tasks for which a speculative copy is requested, with the incarnation of the present run.
    std::vector<IncarnationNumber> dirtySessions; ///< Sessions that the next tick must process.
    TimePoint nextFullTick; ///< Time of the next tick that processes all sessions.
    std::uint64_t lastOrder = 0; ///< Number of the last order.
    bool isPlacementDue = true; ///< Something has changed that may allow a task to start.
    bool isLogFull = false; ///< The maximum number of entries is in flight, so that a proposal waits. Set before each tick.
    unsigned postponedPasses = 0; ///< Placement passes that were due since the last one while the log was full.
    std::optional<StepRef>
        resumePlacementAt; ///< Step at which the second half of the next placement pass continues; nothing if the last one reached the last step.
    AccountStandings accounts; ///< Accounts with open jobs or runs, as of the last placement pass.
    SubmissionBuckets submissionBuckets;
    ShortJobWaits shortJobWaits; ///< Not recorded at the start of a leadership, when not all workers are known.
    std::vector<ReadyStep> readySteps; ///< Ready steps in the order of service, as of the last placement pass.
    std::uint64_t fleetScans = 0; ///< Number of searches through all workers for a task of a step.
    TimePoint nextPlacement; ///< Earliest time of the next placement pass.
    TimePoint nextSweep; ///< Time of the next periodic sweep over all sessions.
};

} // namespace Filbertlanding
