/** @file job_shard_base.h State of a shard: the batch jobs assigned to one daemon. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/random.h"
#include "job/attempt_base.h"
#include "job/evict_func.h"
#include "job/eviction_budget.h"
#include "job/job_failure.h"
#include "job/job_queue.h"
#include "job/job_type.h"
#include "job/place_type.h"
#include "job/size_estimate.h"
#include "job/throttle_state.h"
#include "membership/worker_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Filbertlanding {

/** Settings of a shard. */
struct ShardSettings {
    std::string placePolicy = "interference"; ///< Name of the placement policy.
    PlaceSettings place;
    SizeSettings size;
    InterferenceSettings interference;
    ThrottleSettings throttle;
    EvictSettings evict;
    EvictionBudgetSettings budget;
    FailureSettings failure;
    bool controlPressure = true; ///< False for the baseline that neither throttles nor evicts because of load.
    Duration taskLease{6000}; ///< Length of a task lease (design 4.3).
    Duration proposalRetryInterval{2000}; ///< Interval after which an unanswered proposal is repeated.
    Duration finishBatchInterval{1000}; ///< Interval at which finished tasks of a multi-task job are proposed as one batch.
    Duration minMeasuredRunTime{5000}; ///< Run time after which the usage of a task is used as its size.
    Duration rampAfterReturn{30000}; ///< Duration of the capacity ramp after a zone returns to service.
    std::uint32_t maxThrottled = 2; ///< Tasks of a worker that may be throttled at once; beyond that, one is evicted.
    Duration releaseAfter{5000}; ///< Time without a usable worker after which waiting jobs are released to the leader.
    Duration preemptionDelay{500}; ///< Time an urgent task waits before other tasks are evicted for it.
    std::uint32_t maxStartsPerPass = 400; ///< Limit on placements in one pass.
    std::uint64_t daemonIncarnation = 1; ///< Increases with each restart; part of the attempt numbers of multi-task jobs.
};

/** Key of an attempt: the task id sent to the worker, and the epoch. */
struct TaskKey {
    JobId id; ///< Job id, or job#task@attempt for a multi-task job.
    std::uint64_t epoch = 0; ///< Epoch of the assignment.

    bool operator==(const TaskKey &) const = default;
};

/** Hash of a TaskKey. */
struct TaskKeyHash {
    std::size_t operator()(const TaskKey &key) const
    {
        return std::hash<std::string>{}(key.id) ^ mixBits(key.epoch);
    }
};

/** Job assigned to this shard. Several epochs of a job can be assigned at the same time, with different tasks. */
struct ShardJob {
    AssignedJob assigned; ///< Assignment by the catalog.
    ServiceIndex service = 0;
    ClassIndex jobClass = 0;
    std::uint32_t team = 0; ///< Index of the team in the queue.
    bool isRecovering = false; ///< Assigned before the restart; none of its tasks starts until the recovery period has ended.
    std::unordered_set<std::uint32_t> adopted; ///< Tasks that were adopted from worker reports during the recovery period.
    TimePoint unplacedRecordedAt{-1'000'000'000}; ///< Last time that a failed placement was logged.
    bool evictProposed = false; ///< The end of its epoch was proposed without a known attempt.
    TimePoint proposedAt; ///< Time of the last proposal about the job.
    TimePoint waitingSince; ///< Start of the current wait for a worker.
    TimePoint preemptedAt; ///< Last time that tasks were evicted for it.
    std::vector<std::uint32_t> finished; ///< Finished tasks that the catalog has not confirmed (multi-task jobs).
    std::unordered_map<std::uint32_t, std::string> checkpoints; ///< Checkpoints of evicted tasks (multi-task jobs).
};

/** Attempt to run a task. Kept small, since a shard runs up to 5,000 of them. */
struct ShardTask {
    TaskKey key;
    JobId job;
    std::uint32_t task = 0; ///< Number of the task.
    std::uint32_t worker = 0; ///< Index of the worker.
    std::uint64_t workerIncarnation = 0; ///< Incarnation of the worker to which the start command was sent.
    AttemptState state = AttemptState::Assigned;
    bool isReported = false; ///< The worker has reported the attempt.
    bool failsJob = false; ///< The failure limits are reached, so this failure fails the job.
    bool throttleReported = false; ///< The last report shows the attempt as throttled.
    bool stopRequested = false; ///< The attempt must stop without a checkpoint.
    bool urgent = false;
    bool isMultiTask = false; ///< Belongs to a multi-task job.
    bool measured = false; ///< Its usage was added to the size estimate of its class.
    EvictReason reason = EvictReason::Interference; ///< Reason of the eviction.
    std::uint32_t evictions = 0; ///< Earlier evictions of the job.
    ServiceIndex service = 0;
    ClassIndex jobClass = 0;
    std::uint32_t team = 0; ///< Index of the team in the queue.
    Resources declared; ///< Declared size.
    Resources charge; ///< Resources currently charged to the worker.
    Resources used; ///< Last measured usage.
    Resources peak; ///< Peak measured usage.
    std::int64_t teamCharge = 0; ///< Processors charged to the team.
    TimePoint startedAt; ///< Time of the first report, or of the start command before it.
    TimePoint leaseEnd; ///< Expiry of the task lease on this daemon's clock, including clock drift.
    TimePoint proposedAt; ///< Time of the last proposal about it; 0 for none.
    std::string checkpoint; ///< Checkpoint to resume from; after an eviction, the new checkpoint.
    std::string result; ///< Result or error text.
};

/** Worker known to the shard. It has the same index in JobShard::workers and JobShard::candidates. */
struct ShardWorker {
    WorkerName name;
    ZoneName zone;
    std::uint64_t incarnation = 0;
    std::uint64_t acknowledged = 0; ///< Number of the answer that the last report acknowledged.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch of the last report.
    Resources capacity; ///< Announced capacity.
    Resources requestUse; ///< Measured usage that no task accounts for, attributed to requests.
    TimePoint ownedUntil; ///< Expiry of the ownership lease.
    TimePoint reportAt; ///< Time of the last report.
    std::uint32_t allowedTasks = UINT32_MAX; ///< Limit on its tasks: 0 in quarantine, 1 on probation.
    bool leaving = false; ///< It accepts no new work.
    TimePoint leavingSince; ///< Time at which it started to leave.
    std::vector<ShardTask *> tasks; ///< Attempts on the worker.
    std::unordered_map<TaskKey, TimePoint, TaskKeyHash>
        foreignTasks; ///< Running tasks that are not assigned to this shard, with the time of their first report.
    ThrottleState throttle;
    TimePoint lastCountedReportAt{-1'000'000'000}; ///< Time of the last report used for throttling; duplicate reports are not used.
    double measuredSlowdown = 0; ///< Highest measured slowdown among its services.
};

/** Drain state of a zone. */
struct ZoneDrain {
    bool drained = false; ///< No new task may start in the zone.
    TimePoint since; ///< Time at which the drain was applied.
    Duration limit{600'000}; ///< drainLimit: time after which the remaining tasks are evicted regardless of the eviction budget.
    std::int64_t spareCpuMillis = 0; ///< Spare capacity of the other zones; bounds how many running tasks are evicted at a time.
    TimePoint returnedAt{-1'000'000'000}; ///< Time at which the zone returned to service.
};

/** Output of the shard, to be handled by the daemon. */
struct ShardActions {
    std::vector<JobProposal> proposals; ///< Proposals to the catalog.
    std::vector<PlacementRecord> placements; ///< Placement decisions to log.
    std::vector<WorkerOutcome> outcomes; ///< Task outcomes for quarantine in membership.
    std::vector<WorkerName> polls; ///< Workers that must be asked to report immediately.
};

/** Content of the answer to a worker report. */
struct ShardAnswer {
    Duration taskLease; ///< Length of the task lease; 0 does not renew it.
    std::vector<TaskCommand> commands;
};

/** Table of interned names. */
struct NameIndex {
    std::unordered_map<std::string, std::uint32_t> index; ///< Index of each name.

    /** Returns the index of a name, adding the name if necessary. */
    std::uint32_t intern(const std::string &name)
    {
        return this->index.try_emplace(name, static_cast<std::uint32_t>(this->index.size())).first->second;
    }
};

/** Shard of one daemon: the jobs assigned to it, run on the workers it owns. All state can be rebuilt from the catalog and worker reports. */
struct JobShard {
    ShardSettings settings;
    const std::function<PlacePolicy> *policy = nullptr; ///< Placement policy.
    std::unordered_set<TaskKey, TaskKeyHash> jobsToRelease; ///< Waiting jobs being released to the leader; they no longer start under this epoch.
    TimePoint lastUsableAt; ///< Last time that the shard had a worker on which tasks may start.
    std::uint32_t recoveringJobs = 0; ///< Number of jobs that wait for the end of the recovery period, or for the end of their epoch after it.
    std::unordered_set<TaskKey, TaskKeyHash> jobsToFinish; ///< Multi-task jobs with finished tasks that the catalog has not confirmed.
    std::vector<double> baselineMs; ///< Latency of each service without batch load; 0 if unknown.
    std::vector<bool> baselineIdle; ///< Whether the baseline was measured on a worker without batch tasks.
    TimePoint placedAt; ///< Time of the last placement pass.
    TimePoint recoveryUntil; ///< End of the recovery period after a start of the daemon. Nothing assigned before the start is started until then.
    TimePoint freshUntil; ///< Expiry of the freshness lease.
    TimePoint runningUntil; ///< Expiry of the running lease.
    bool caughtUp = false; ///< The freshness lease was held at least once, so the jobs assigned to this daemon are known.
    std::unordered_map<TaskKey, std::unique_ptr<ShardJob>, TaskKeyHash> jobs; ///< Assigned jobs, by job id and epoch.
    std::unordered_map<TaskKey, std::unique_ptr<ShardTask>, TaskKeyHash> tasks; ///< Attempts by key.
    std::unordered_map<TaskKey, TimePoint, TaskKeyHash> foreignProposals; ///< Times of the last proposals about ended tasks of other shards.
    std::unordered_set<TaskKey, TaskKeyHash> closedAttempts; ///< Attempts whose end is known to the catalog; workers may forget them.
    std::vector<TaskKey> closedOrder; ///< Ring buffer of closedAttempts in order of time, which limits their number.
    std::size_t closedNext = 0; ///< Next position in the ring buffer.
    JobQueue queue; ///< Waiting tasks.
    std::vector<ShardWorker> workers;
    std::vector<PlaceCandidate> candidates; ///< The workers as seen by placement policies, with the same indexes.
    std::unordered_map<WorkerName, std::uint32_t> workerIndex; ///< Index of each worker.
    std::unordered_map<ZoneName, ZoneDrain> zones; ///< Zones whose drain state has been set.
    std::vector<std::uint32_t> rackTasks; ///< Number of attempts by rack.
    std::uint32_t totalTasks = 0; ///< Sum of rackTasks.
    NameIndex services, classes, racks; ///< Interned names.
    std::vector<SizeEstimate> sizes; ///< Learned sizes by class.
    InterferenceTable interference; ///< Learned interference.
    EvictionBudget budget;
    FailureState failures;
    std::unordered_map<JobId, std::uint32_t> evictions; ///< Evictions in favour of requests or urgent tasks, by job.
    std::uint64_t attempts = 0; ///< Counter for attempt numbers of multi-task jobs.
    bool placementDue = true; ///< A change may allow waiting tasks to start.
    ShardActions actions; ///< Output collected since the last takeActions().
};

} // namespace Filbertlanding
