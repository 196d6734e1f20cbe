/** @file job_shard_base.h State of a daemon's shard of batch work. */

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
    PlaceSettings place; ///< Settings of placement.
    SizeSettings size; ///< Settings of the size estimate.
    InterferenceSettings interference; ///< Settings of the interference estimate.
    ThrottleSettings throttle; ///< Settings of throttling.
    EvictSettings evict; ///< Choice of victims.
    EvictionBudgetSettings budget; ///< Eviction budget.
    FailureSettings failure; ///< Judgement of failures.
    bool controlPressure = true; ///< False for the baseline that never throttles or evicts.
    Duration taskLease{6000}; ///< Task lease (design 4.3).
    Duration proposalRetryInterval{2000}; ///< Time after which an unanswered proposal is made again.
    Duration finishBatchInterval{1000}; ///< Finished tasks of jobs with many tasks are committed in batches of this length.
    Duration minMeasuredRunTime{5000}; ///< Usage of a task counts as its size once it has run this long.
    Duration rampAfterReturn{30000}; ///< Time over which load returns to a zone.
    std::uint32_t maxThrottled = 2; ///< Tasks of a worker that are throttled before one is evicted.
    Duration releaseAfter{5000}; ///< Waiting jobs go back to the leader when the shard had no usable worker for this time.
    Duration preemptionDelay{500}; ///< Wait of an urgent task before others are evicted for it.
    std::uint32_t maxStartsPerPass = 400; ///< Bound on placements in one pass.
    std::uint64_t daemonIncarnation = 1; ///< Higher after each restart; part of the attempt numbers of jobs with many tasks.
};

/** Key of an attempt: the job id as the worker knows it, and the epoch. */
struct TaskKey {
    JobId id; ///< The job's id; job#task@attempt for a job with many tasks.
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

/** A job assigned to this shard. Several epochs of one job can be assigned at once, with different tasks. */
struct ShardJob {
    AssignedJob assigned; ///< As the catalog has it.
    ServiceIndex service = 0; ///< Interned service.
    ClassIndex jobClass = 0; ///< Interned class.
    std::uint32_t team = 0; ///< Interned team.
    bool isRecovering = false; ///< Assigned before the restart; nothing starts until the quiet period is over.
    std::unordered_set<std::uint32_t> adopted; ///< Tasks that workers have reported in the quiet period.
    TimePoint unplacedRecordedAt{-1'000'000'000}; ///< Last record of a placement that found no worker.
    bool evictProposed = false; ///< Its epoch ends without an attempt on record.
    TimePoint proposedAt; ///< Last proposal about it.
    TimePoint waitingSince; ///< Since when a task of it waits.
    TimePoint preemptedAt; ///< When others were last evicted for it.
    std::vector<std::uint32_t> finished; ///< Tasks finished, but not confirmed (jobs with many tasks).
    std::unordered_map<std::uint32_t, std::string> checkpoints; ///< Checkpoints of evicted tasks (jobs with many tasks).
};

/** An attempt to run a task. Kept small: 5,000 of them run in one shard. */
struct ShardTask {
    TaskKey key; ///< Key.
    JobId job; ///< The job.
    std::uint32_t task = 0; ///< Number of the task.
    std::uint32_t worker = 0; ///< Index of the worker.
    std::uint64_t workerIncarnation = 0; ///< Incarnation of the worker that got the start command.
    AttemptState state = AttemptState::Assigned; ///< State.
    bool isReported = false; ///< The worker has reported it.
    bool failsJob = false; ///< It failed on enough good workers; the job is to be failed.
    bool throttleReported = false; ///< The worker reported it as throttled.
    bool stopRequested = false; ///< It is to stop without a checkpoint.
    bool urgent = false; ///< Urgent.
    bool isMultiTask = false; ///< Belongs to a job with many tasks.
    bool measured = false; ///< Its class learned from it.
    EvictReason reason = EvictReason::Interference; ///< Why it is evicted.
    std::uint32_t evictions = 0; ///< Earlier evictions of the job.
    ServiceIndex service = 0; ///< Interned service.
    ClassIndex jobClass = 0; ///< Interned class.
    std::uint32_t team = 0; ///< Interned team.
    Resources declared; ///< Declared size.
    Resources charge; ///< Size at which it counts now.
    Resources used; ///< Last measured use.
    Resources peak; ///< Highest measured use.
    std::int64_t teamCharge = 0; ///< What was added to the team's use.
    TimePoint startedAt; ///< First report of it, or the start command.
    TimePoint leaseEnd; ///< End of the task lease on this daemon's clock, with drift.
    TimePoint proposedAt; ///< Last proposal about it; 0 for none.
    std::string checkpoint; ///< Start: where it resumes. Evicted: the new checkpoint.
    std::string result; ///< Result or error text.
};

/** A worker as the shard knows it. Its place in JobShard::workers equals that in JobShard::candidates. */
struct ShardWorker {
    WorkerName name; ///< Name.
    ZoneName zone; ///< Availability zone.
    std::uint64_t incarnation = 0; ///< Incarnation.
    std::uint64_t acknowledged = 0; ///< Highest answer number that a report has acknowledged.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch of the last report.
    Resources capacity; ///< Announced capacity.
    Resources requestUse; ///< Measured use that belongs to no task.
    TimePoint ownedUntil; ///< End of the ownership lease.
    TimePoint reportAt; ///< Last report.
    std::uint32_t allowedTasks = UINT32_MAX; ///< 0 in quarantine, 1 on probation.
    bool leaving = false; ///< It takes no new work.
    TimePoint leavingSince; ///< Since when.
    std::vector<ShardTask *> tasks; ///< Attempts on it.
    std::unordered_map<TaskKey, TimePoint, TaskKeyHash>
        foreignTasks; ///< Live tasks on it that are not assigned to this shard, with the time of the first report.
    ThrottleState throttle; ///< Throttling.
    TimePoint lastCountedReportAt{-1'000'000'000}; ///< Last report that counted for throttling; doubled reports do not.
    double measuredSlowdown = 0; ///< Largest measured slowdown of its services.
};

/** Drain of a zone. */
struct ZoneDrain {
    bool drained = false; ///< Nothing new starts.
    TimePoint since; ///< When the drain was applied.
    Duration limit{600'000}; ///< drainLimit: after this time the remaining tasks are evicted regardless of the budget.
    std::int64_t spareCpuMillis = 0; ///< Spare capacity of the other zones; running tasks are evicted in waves into it.
    TimePoint returnedAt{-1'000'000'000}; ///< When it came back into service.
};

/** Results that have to leave the shard. */
struct ShardActions {
    std::vector<JobProposal> proposals; ///< For the catalog.
    std::vector<PlacementRecord> placements; ///< For the log.
    std::vector<WorkerOutcome> outcomes; ///< For the quarantine in membership.
    std::vector<WorkerName> polls; ///< Workers that should report at once.
};

/** Commands and lease for the answer to a report. */
struct ShardAnswer {
    Duration taskLease; ///< Task lease; 0 renews nothing.
    std::vector<TaskCommand> commands; ///< Commands.
};

/** Interned names. */
struct NameIndex {
    std::unordered_map<std::string, std::uint32_t> index; ///< Index of a name.

    /** Returns the index of a name, which is added when it is new. */
    std::uint32_t of(const std::string &name)
    {
        return this->index.try_emplace(name, static_cast<std::uint32_t>(this->index.size())).first->second;
    }
};

/** A daemon's shard of batch work: jobs assigned to it, run on workers that it owns. Everything in it is rebuilt from the catalog and from reports. */
struct JobShard {
    ShardSettings settings; ///< Settings.
    const std::function<PlacePolicy> *policy = nullptr; ///< Placement policy.
    std::unordered_set<TaskKey, TaskKeyHash> jobsToRelease; ///< Waiting jobs that go back to the leader; they start no more under this epoch.
    TimePoint lastUsableAt; ///< When the shard last had a worker on which something may start.
    std::uint32_t recoveringJobs = 0; ///< Jobs that wait for the end of the quiet period or for the end of their epoch after it.
    std::unordered_set<TaskKey, TaskKeyHash> jobsToFinish; ///< Jobs with finished tasks that are not confirmed.
    std::vector<double> baselineMs; ///< Latency of each service without batch work; 0 if unknown.
    std::vector<bool> baselineIdle; ///< Whether the baseline was measured on a worker without batch work.
    TimePoint placedAt; ///< Last pass over the queue.
    TimePoint recoveryUntil; ///< End of the quiet period after the restart.
    TimePoint freshUntil; ///< End of the freshness lease.
    TimePoint runningUntil; ///< End of the running lease.
    bool caughtUp = false; ///< The daemon was fresh at least once, so that the jobs assigned to it are known.
    std::unordered_map<TaskKey, std::unique_ptr<ShardJob>, TaskKeyHash> jobs; ///< Assigned jobs by id and epoch.
    std::unordered_map<TaskKey, std::unique_ptr<ShardTask>, TaskKeyHash> tasks; ///< Attempts.
    std::unordered_map<TaskKey, TimePoint, TaskKeyHash> foreignProposals; ///< Proposals about ended tasks of other shards, with their time.
    std::unordered_set<TaskKey, TaskKeyHash> closedAttempts; ///< Ends that the catalog has answered; the worker may forget them.
    std::vector<TaskKey> closedOrder; ///< The same in order of time, as a ring, to bound their number.
    std::size_t closedNext = 0; ///< Next place in the ring.
    JobQueue queue; ///< Waiting tasks.
    std::vector<ShardWorker> workers; ///< Workers.
    std::vector<PlaceCandidate> candidates; ///< The same for the placement policy.
    std::unordered_map<WorkerName, std::uint32_t> workerIndex; ///< Index of a worker.
    std::unordered_map<ZoneName, ZoneDrain> zones; ///< Zones that are or were drained.
    std::vector<std::uint32_t> rackTasks; ///< Attempts by rack.
    std::uint32_t totalTasks = 0; ///< Sum of rackTasks.
    NameIndex services, classes, racks; ///< Interned names.
    std::vector<SizeEstimate> sizes; ///< Learned sizes by class.
    InterferenceTable interference; ///< Learned interference.
    EvictionBudget budget; ///< Eviction budget.
    FailureState failures; ///< Failures.
    std::unordered_map<JobId, std::uint32_t> evictions; ///< Evictions for the sake of requests, by job.
    std::uint64_t attempts = 0; ///< Attempts of jobs with many tasks.
    bool placementDue = true; ///< Something changed that may allow a start.
    ShardActions actions; ///< Collected since the last takeActions().
};

} // namespace Filbertlanding
